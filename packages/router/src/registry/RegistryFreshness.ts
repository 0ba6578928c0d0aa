import type { Millis } from "@azureshunt/core";

/** How old a VM's view of the registry can be. */
export type RegistryFreshness = {
    /** The latest time at which the entries known here are known to have been current; `-Infinity` if unknown. */
    readonly asOf: Millis;
    /** Whether a peer has read other entries since then. */
    readonly isContradicted: boolean;
    /** When this VM sent the last read that succeeded. */
    readonly requestedAt: Millis;
    /** Reads and confirmations that rest on timestamps from before this time are ignored. */
    readonly validFrom: Millis;
};
