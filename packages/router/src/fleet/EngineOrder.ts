import type { Millis, ModelName } from "@azureshunt/core";

/** An order to load new weights that an engine carries out, or may be carrying out. */
export type EngineOrder = {
    /**
     * Whose weights it replaces; other models of the engine are not affected. `undefined` if a VM of an earlier version
     * has told of it, and the engine serves several: it may be any of those that hold an older version.
     */
    readonly model: ModelName | undefined;
    readonly version: number;
    /** When it was issued; distinguishes it from other orders to the same engine. */
    readonly issuedAt: Millis;
    /** When it was issued, or last seen in progress. */
    readonly seenAt: Millis;
    /** Whether this VM issued it. */
    readonly isOwn: boolean;
};
