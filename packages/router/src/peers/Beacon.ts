import type { AvailabilityRow } from "@azureshunt/availability";
import type { EndpointName, FailureDomain, Incarnation, Millis, OrganisationId, Tokens, VmId } from "@azureshunt/core";
import type { LimitRow } from "@azureshunt/limit";
import type { SuspectRows } from "@azureshunt/quarantine";

import type { TargetRow } from "../knowledge/TargetRow.js";
import type { PrefixPart } from "../placement/PrefixPart.js";
import type { RolloutRow } from "../rollout/RolloutRow.js";
import type { BeaconScope } from "./BeaconScope.js";
import type { DomainCount } from "./DomainCount.js";
import type { EndpointShare } from "./EndpointShare.js";
import type { EngineVersionRow } from "./EngineVersionRow.js";
import type { KnownVm } from "./KnownVm.js";
import type { OrderedRow } from "./OrderedRow.js";

/**
 * State that a VM sends to its peers several times a second. State that does not fit into one datagram is sent as
 * several beacons, each with some of the rows.
 */
export type Beacon = {
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    readonly failureDomain: FailureDomain;
    /** Age of the sender's process; `Infinity` if the sender does not state it. */
    readonly upMs: Millis;
    /** Increases with each send of a process; all datagrams of one send have the same number. */
    readonly sequence: number;
    /** Sending time on the sender's monotonic clock; the receiver echoes it. */
    readonly sentAt: Millis;
    /**
     * Timestamp in the last datagram that the sender received from the receiver, and the time since it arrived. It
     * gives the receiver an upper bound for the age of this beacon, however long the datagram was delayed. `undefined`
     * if there is no such datagram.
     */
    readonly echo: { readonly incarnation: Incarnation; readonly sentAt: Millis; readonly heldMs: Millis; } | undefined;
    /**
     * Configured capacity of the sender, in cores; the VMs with the highest become relays. 0 if an earlier version does
     * not state it.
     */
    readonly capacity: number;
    readonly scope: BeaconScope;
    /** VMs that the receiver may need to know. */
    readonly vms: readonly KnownVm[];
    /**
     * Number of VMs by failure domain, including VMs that are not listed in `vms`. In scope `domain`, those of the
     * sender's domain that are no relays; in scope `fleet`, all VMs, with the sender and the receiver. Those that are
     * gone are left out. Empty in other scopes and in urgent beacons.
     */
    readonly domains: readonly DomainCount[];
    /** As `spent`, for the VMs whose state is relayed; a counter that grows as long as the sender's process runs. */
    readonly relayedSpent: readonly (readonly [OrganisationId, Tokens, Tokens])[];
    /** As `load`, for the VMs whose state is relayed. An urgent beacon contains the changed rows only, a round all. */
    readonly relayedLoad: readonly (readonly [EndpointName, EndpointShare])[];
    /** As `demand`, for the VMs whose state is relayed. */
    readonly relayedDemand: Tokens;
    /** Revision of the sender's configuration; -1 if it has none. */
    readonly revision: number;
    /** Age of the confirmation that `revision` is the newest one; `undefined` if there was none. */
    readonly confirmedMs: Millis | undefined;
    /** Target versions of the weights, by model, newest first. */
    readonly weights: readonly TargetRow[];
    /** By organisation: tokens that the sender has spent since its start, and tokens requested of it per second. */
    readonly spent: readonly (readonly [OrganisationId, Tokens, Tokens])[];
    /**
     * Load of the sender's requests by endpoint, and requests that it places in pools with limited endpoints (see
     * `limitRowNames`); `undefined` if this beacon does not state it.
     */
    readonly load: readonly (readonly [EndpointName, EndpointShare])[] | undefined;
    /** Prompt tokens that the sender's callers send per millisecond. */
    readonly demand: Tokens;
    /** Engines that execute orders of the sender, or of VMs whose state is relayed. */
    readonly ordered: readonly OrderedRow[];
    /** Versions of the weights that engines are known to have loaded. */
    readonly engineVersions: readonly EngineVersionRow[];
    /**
     * Prompt parts that engines have prefilled, or the cache store has stored, since the sender's last round, by
     * holder: the engine or the cache store.
     */
    readonly cached: readonly (readonly [string, readonly PrefixPart[]])[];
    /**
     * Newest record of the order lease: its offset in the store's topic, the VM that it names as holder, and for how
     * long the sender has known it. `undefined` if the sender knows none.
     */
    readonly lease: { readonly offset: number; readonly holder: VmId; readonly ageMs: Millis; } | undefined;
    /** Limits that endpoints name; those that the sender has known for long in rotation. */
    readonly limits: readonly LimitRow[];
    /** Endpoints that want no requests; those that the sender has known to leave for long in rotation. */
    readonly availability: readonly AvailabilityRow[];
    /** Rollouts of software versions that the sender knows. */
    readonly rollouts: readonly RolloutRow[];
    /** Digest of the registry entries that the sender knows, and an upper bound for their age. */
    readonly registry: { readonly digest: string; readonly ageMs: Millis; } | undefined;
    /** Whether the store has answered the sender lately, so that the sender can read it for others. */
    readonly hasStore: boolean;
    /** True in the final beacon that a VM sends on shutdown. */
    readonly isLeaving: boolean;
} & SuspectRows;
