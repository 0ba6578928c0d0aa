import type { Millis } from "@azureshunt/core";

/** How old what a VM knows of the registry can be at most. */
export type RegistryEvidence = {
    /** The entries known here were the registry's at this moment. */
    readonly asOf: Millis;
    /** Another VM has read other entries since then. */
    readonly isDoubted: boolean;
    /** When this VM last asked the store. */
    readonly askedAt: Millis;
    /** What rests on time stamps from before does not count. */
    readonly countsFrom: Millis;
};
