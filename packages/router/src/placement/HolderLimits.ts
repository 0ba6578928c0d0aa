import type { Millis, Tokens } from "@azureshunt/core";

/** What a holder of cached parts can keep. */
export type HolderLimits = {
    /** What was not used for so long is no longer counted on. */
    readonly keptMs: Millis;
    /** Tokens that fit into its memory; what was used longest ago makes room. */
    readonly size: Tokens;
};
