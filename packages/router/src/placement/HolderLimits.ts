import type { Millis, Tokens } from "@azureshunt/core";

/** What a holder of cached prompt parts can keep. */
export type HolderLimits = {
    /** Parts unused for longer than this are assumed to be evicted. */
    readonly expiryMs: Millis;
    /** Tokens that fit into its cache; the least recently used parts are evicted first. */
    readonly size: Tokens;
};
