import type { FailureDomain, Incarnation, Millis, VmId } from "@azureshunt/core";

import type { Beacon } from "./Beacon.js";

/** Another VM, as this one knows it. */
type Member = {
    readonly vm: VmId;
    /** `host:port` for beacons. */
    readonly address: string;
    /** Undefined until its first beacon. */
    readonly heard: {
        readonly incarnation: Incarnation;
        readonly failureDomain: FailureDomain;
        readonly at: Millis;
        readonly beacon: Beacon;
        /**
         * Not later than when the beacon was sent, on this VM's own clock; −∞ while the other VM has not sent back a
         * time stamp of this process.
         */
        readonly sentAfter: Millis;
    } | undefined;
};

/** The other VMs. */
export type Members = {
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    readonly startedAt: Millis;
    /** Whether the list of VMs in the store has been read. */
    readonly isListed: boolean;
    readonly known: ReadonlyMap<VmId, Member>;
    /** Addresses to which beacons go though it is not known whose they are. */
    readonly seeds: readonly string[];
};
