import type { Millis } from "@azureshunt/core";

/** An order to load new weights that an engine carries out, or may be carrying out. */
export type EngineOrder = {
    readonly version: number;
    /** When it was issued; distinguishes it from other orders to the same engine. */
    readonly issuedAt: Millis;
    /** When it was issued, or last seen in progress. */
    readonly seenAt: Millis;
    /** Whether this VM issued it. */
    readonly isOwn: boolean;
};
