import type { FieldPath } from "./FieldPath.js";

/** One thing that is wrong with a release note or a settings file. */
export type NoteFault = {
    /** The field; empty for the whole document. */
    readonly path: FieldPath;
    /** What stands there. Never holds a digest or a secret. */
    readonly found: string;
    /** What may stand there. */
    readonly allowed: string;
};
