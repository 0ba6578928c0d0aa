import type { FailureDomain, Millis, VmId } from "@azureshunt/core";

/** A VM as its peers describe it to each other. */
export type KnownVm = {
    readonly vm: VmId;
    /** `host:port` for beacons. */
    readonly address: string;
    readonly failureDomain: FailureDomain;
    /** What it can do besides its requests, relative to other VMs. */
    readonly capacity: number;
    /** Whether it reads the store itself. */
    readonly hasStore: boolean;
    /** Time since it was last seen. */
    readonly ageMs: Millis;
};
