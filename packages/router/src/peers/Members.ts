import type { FailureDomain, Incarnation, Millis, Tokens, VmId } from "@azureshunt/core";

import type { DomainCount } from "./DomainCount.js";
import type { ReceivedBeacon } from "./ReceivedBeacon.js";

/** A peer, as this VM knows it. */
type Member = {
    readonly vm: VmId;
    /** `host:port` for beacons. */
    readonly address: string;
    /** `undefined` while only its address is known. */
    readonly failureDomain: FailureDomain | undefined;
    readonly capacity: number;
    readonly hasStore: boolean;
    /**
     * When it was last seen, by this VM or by a relay, moved on by the time in which this process did not run since then;
     * `-Infinity` until it was seen.
     */
    readonly lastSeenAt: Millis;
    /** How much earlier than `lastSeenAt` it was seen; 0 if omitted. */
    readonly pausedMs?: Millis;
    /** Its last beacon to this VM; `undefined` until the first. */
    readonly lastReceived: ReceivedBeacon | undefined;
};

/** What a relay counts of the VMs from which this VM receives nothing directly. */
type RelaySummary = {
    /**
     * Lower bound for the time at which it was sent, moved on by the time in which this process did not run since then;
     * the time of receipt if the relay has not yet echoed a timestamp of this process.
     */
    readonly at: Millis;
    /** How much earlier than `at` that bound is; 0 if omitted. */
    readonly pausedMs?: Millis;
    readonly domains: readonly DomainCount[];
    /** Prompt tokens per millisecond. */
    readonly demand: Tokens;
};

/** This VM, and all that it knows of its peers. */
export type Members = {
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    readonly failureDomain: FailureDomain;
    readonly capacity: number;
    /** When this process started, moved on by the time in which it did not run. */
    readonly startedAt: Millis;
    /** Whether the VM list in the store has been read. */
    readonly isListed: boolean;
    readonly known: ReadonlyMap<VmId, Member>;
    /** By failure domain: what its relays count of its other VMs. */
    readonly domainSummaries: ReadonlyMap<FailureDomain, RelaySummary>;
    /** What a relay of this VM's own failure domain counts of all VMs; `undefined` until then. */
    readonly fleetSummary: RelaySummary | undefined;
    /** Configured addresses that get beacons before it is known which VM each belongs to. */
    readonly seeds: readonly string[];
};
