import type { Millis } from "@azureshunt/core";

/** How old knowledge of the configuration may be. */
export type FreshnessBounds = {
    /** A key that was withdrawn longer ago must not work any more. */
    readonly keysMs: Millis;
    /** A route or key that was added longer ago must be known before a caller is told that there is none. */
    readonly denialMs: Millis;
};
