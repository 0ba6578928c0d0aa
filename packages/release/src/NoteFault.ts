import type { FieldPath } from "./FieldPath.js";

/** One fault of a release note or a settings file. */
export type NoteFault = {
    /** Path of the field; empty for the whole document. */
    readonly path: FieldPath;
    /** Description of the value found. Never contains a digest or a secret. */
    readonly found: string;
    /** Description of the values allowed. */
    readonly allowed: string;
};
