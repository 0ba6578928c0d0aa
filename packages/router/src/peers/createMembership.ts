import { rendezvousOrder } from "@azureshunt/core";
import type { Clock, FailureDomain, Millis, Peer, Tokens, VmId } from "@azureshunt/core";

import type { PeerLiveness } from "../allowance/PeerLiveness.js";
import { leaseRank } from "../fleet/leaseRank.js";
import type { Beacon } from "./Beacon.js";
import { beaconInterval } from "./beaconInterval.js";
import type { BeaconTarget } from "./BeaconTarget.js";
import { beaconTargets } from "./beaconTargets.js";
import { domainSilentMs } from "./domainSilentMs.js";
import { domainsOf } from "./domainsOf.js";
import { isAlive } from "./isAlive.js";
import { isReader } from "./isReader.js";
import { lastSeenByDomain } from "./lastSeenByDomain.js";
import type { ListedVm } from "./ListedVm.js";
import { livenessOf } from "./livenessOf.js";
import { memberFieldsOf } from "./memberFieldsOf.js";
import type { Members } from "./Members.js";
import type { MembersEvent } from "./MembersEvent.js";
import { peerDemand } from "./peerDemand.js";
import type { ReaderScope } from "./ReaderScope.js";
import { readerScopeOf } from "./readerScopeOf.js";
import type { ReceivedBeacon } from "./ReceivedBeacon.js";
import { relayedDemand } from "./relayedDemand.js";
import { relaysOf } from "./relaysOf.js";
import { roleOf } from "./roleOf.js";
import { stepMembers } from "./stepMembers.js";
import { usualTargets } from "./usualTargets.js";
import type { VmRole } from "./VmRole.js";

/** A beacon that was applied, and the last one of the same VM before it. */
type AcceptedBeacon = { readonly received: ReceivedBeacon; readonly previous: ReceivedBeacon | undefined; };

/** The peers, and what follows from the state that they sent. */
type Membership = {
    readonly current: () => Members;
    /** Number of VMs, including this one. */
    readonly vms: () => number;
    /**
     * Applies a beacon; returns `undefined` if one that the same process sent over `peerTiming.reorderMs` later, or one
     * of a later process, arrived before it, if this VM sent it, or if it is its sender's final beacon.
     */
    readonly applyBeacon: (beacon: Beacon, address: string) => AcceptedBeacon | undefined;
    readonly list: (vms: readonly ListedVm[]) => void;
    readonly tick: () => void;
    /** Takes a time in which this process did not run, while its clock went on, off the silence of the peers. */
    readonly onPaused: (ms: Millis) => void;
    /** Whether this VM relays state for the others of its failure domain. */
    readonly isRelay: () => boolean;
    /** Whether no peer is alive. */
    readonly isAlone: () => boolean;
    /** Address of a live relay of this VM's failure domain, other than this VM; `undefined` if there is none. */
    readonly relayAddress: () => string | undefined;
    /** Peers that are alive, with the addresses of their listeners. */
    readonly livePeers: () => readonly Peer[];
    /** Address of a peer; `undefined` if it is not known. */
    readonly addressOf: (vm: VmId | undefined) => string | undefined;
    /** Role of a peer as seen by this VM. */
    readonly roleOf: (vm: VmId) => VmRole;
    /** Relays of this VM's failure domain, possibly including this VM. */
    readonly relays: () => readonly VmId[];
    /** Who gets a beacon in a round, and whose state it contains. */
    readonly targets: (round: number) => readonly BeaconTarget[];
    /** Who gets a beacon in each round, and urgent state between rounds. */
    readonly usualTargets: () => readonly BeaconTarget[];
    /** What a beacon contains about other VMs. */
    readonly memberFields: (scope: Beacon["scope"]) => Pick<Beacon, "vms" | "domains">;
    readonly liveness: () => PeerLiveness;
    /** Time for which a failure domain has been silent; 0 for this VM's own. */
    readonly domainSilentMs: (domain: FailureDomain) => Millis;
    /** Prompt tokens that callers send to the other VMs per millisecond. */
    readonly demand: () => Tokens;
    /**
     * Demand that a relay sends to a target, in prompt tokens per millisecond. Received demand counts for `goneMs`,
     * longer than in `demand`.
     */
    readonly relayedDemand: (scope: "domain" | "fleet") => (target: VmId | undefined) => Tokens;
    /** Whether this VM reads the registry for all VMs. */
    readonly isReader: () => boolean;
    /** For which VMs this VM reads the declarations. */
    readonly readerScope: () => ReaderScope;
    /** Whether a VM of another failure domain is alive. */
    readonly reachesOtherDomains: () => boolean;
    /** Time between two beacons to one VM. */
    readonly beaconIntervalMs: () => Millis;
    /** Number of VMs that may claim the order lease before this one. */
    readonly rank: (lastHolder: VmId | undefined, hasStore: boolean) => number;
};

type SelfInfo = Pick<Members, "vm" | "incarnation" | "failureDomain" | "capacity" | "seeds">;

/** Time for which the relays are cached, unless the set of known VMs changes: they are needed for each beacon. */
const RECHECK_MS: Millis = 100;

/** Creates a membership that knows no peer yet, only the addresses of the seeds. */
export function createMembership(clock: Clock, self: SelfInfo): Membership {
    const initial: Members = {
        ...self,
        startedAt: clock.now(),
        isListed: false,
        known: new Map(),
        domainSummaries: new Map(),
        fleetSummary: undefined,
    };
    const state = {
        members: initial,
        lastSeenByDomain: undefined as ReturnType<typeof lastSeenByDomain> | undefined,
        relays: new Map<FailureDomain, readonly VmId[]>(),
        relaysAt: -Infinity as Millis,
        vms: 1,
        vmsAt: -Infinity as Millis,
    };

    const apply = (event: MembersEvent): void => {
        const before = state.members;
        state.members = stepMembers(before, event, clock.now());
        // Cached until the members change, as it is needed for each endpoint of each request.
        state.lastSeenByDomain = state.members === before ? state.lastSeenByDomain : undefined;
        if (state.members.known.size !== before.known.size || event.kind === "paused") {
            state.relaysAt = -Infinity;
            state.vmsAt = -Infinity;
        }
    };
    const applyBeacon: Membership["applyBeacon"] = (beacon, address) => {
        const previous = state.members.known.get(beacon.vm)?.lastReceived;
        apply({ kind: "beacon", beacon, address });
        const received = state.members.known.get(beacon.vm)?.lastReceived;
        return received?.beacon === beacon ? { received, previous } : undefined;
    };
    const lastSeenAt = (domain: FailureDomain): Millis | undefined => {
        state.lastSeenByDomain ??= lastSeenByDomain(state.members);
        return state.lastSeenByDomain.get(domain);
    };
    const relays = (): ReadonlyMap<FailureDomain, readonly VmId[]> => {
        const now = clock.now();
        if (now - state.relaysAt >= RECHECK_MS) {
            state.relays = new Map(
                domainsOf(state.members).map(domain => [domain, relaysOf(state.members, domain, now)] as const),
            );
            state.relaysAt = now;
        }
        return state.relays;
    };
    const ownRelays = (): readonly VmId[] => relays().get(self.failureDomain) ?? [];
    const addressOf: Membership["addressOf"] = vm =>
        vm === undefined ? undefined : state.members.known.get(vm)?.address;
    const isRelay = (): boolean => ownRelays().includes(self.vm);
    const role = (vm: VmId): VmRole => {
        const failureDomain = state.members.known.get(vm)?.failureDomain;
        return roleOf({ vm, failureDomain, self, relays: relays() });
    };
    const liveness = (): PeerLiveness => livenessOf(state.members, isRelay(), clock.now());
    const vms = (): number => {
        const now = clock.now();
        if (now - state.vmsAt >= RECHECK_MS) {
            state.vms = liveness().peers + 1;
            state.vmsAt = now;
        }
        return state.vms;
    };
    return {
        current: () => state.members,
        vms,
        applyBeacon,
        list: vms => apply({ kind: "listed", vms }),
        tick: () => apply({ kind: "tick" }),
        onPaused: ms => apply({ kind: "paused", ms }),
        isRelay,
        isAlone: () => [...state.members.known.values()].every(member => !isAlive(member, clock.now())),
        relayAddress: () => {
            // Each VM has a preferred relay, so that the relays share the load.
            const [relay] = rendezvousOrder(self.vm, ownRelays().filter(vm => vm !== self.vm));
            return addressOf(relay);
        },
        livePeers: () => [...state.members.known.values()].filter(member => isAlive(member, clock.now())),
        addressOf,
        relays: ownRelays,
        roleOf: role,
        targets: round => beaconTargets(state.members, round, clock.now()),
        usualTargets: () => usualTargets(state.members, clock.now()),
        memberFields: scope => memberFieldsOf(state.members, scope, clock.now()),
        liveness,
        domainSilentMs: domain =>
            domain === self.failureDomain
                ? 0
                : domainSilentMs(lastSeenAt(domain), state.members.known.size, clock.now()),
        demand: () => peerDemand(state.members, isRelay(), clock.now()),
        relayedDemand: scope => relayedDemand(state.members, scope, role, clock.now()),
        isReader: () => isReader(state.members, clock.now()),
        readerScope: () => readerScopeOf(state.members, clock.now()),
        reachesOtherDomains: () =>
            [...state.members.known.values()].some(member =>
                member.failureDomain !== undefined
                && member.failureDomain !== self.failureDomain
                && isAlive(member, clock.now())
            ),
        beaconIntervalMs: () => beaconInterval(state.members.known.size),
        rank: (lastHolder, hasStore) => leaseRank(state.members, lastHolder, hasStore, clock.now()),
    };
}
