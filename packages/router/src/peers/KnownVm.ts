import type { FailureDomain, Millis, VmId } from "@azureshunt/core";

/** A VM as its peers describe it to each other. */
export type KnownVm = {
    readonly vm: VmId;
    /** `host:port` for beacons. */
    readonly address: string;
    readonly failureDomain: FailureDomain;
    /** Configured capacity, in cores; the VMs with the highest become relays. 0 if it does not state it. */
    readonly capacity: number;
    /** Whether the store has answered it lately, so that it can read the store for others. */
    readonly hasStore: boolean;
    /** Time since it was last seen. */
    readonly ageMs: Millis;
};
