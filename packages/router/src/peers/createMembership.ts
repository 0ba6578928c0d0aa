import type { Clock, FailureDomain, Millis, Tokens, VmId } from "@azureshunt/core";

import type { Hearing } from "../allowance/Hearing.js";
import { leaseRank } from "../fleet/leaseRank.js";
import type { Beacon } from "./Beacon.js";
import { beaconInterval } from "./beaconInterval.js";
import type { Heard } from "./Heard.js";
import { hearingOf } from "./hearingOf.js";
import { isReader } from "./isReader.js";
import { lastHeard } from "./lastHeard.js";
import type { Members } from "./Members.js";
import type { MembersEvent } from "./MembersEvent.js";
import { othersDemand } from "./othersDemand.js";
import { quietMs } from "./quietMs.js";
import { stepMembers } from "./stepMembers.js";

/** A beacon that told something new, and the last one of the same VM before it. */
type HeardNews = { readonly heard: Heard; readonly before: Heard | undefined; };

/** The other VMs, and what follows from what they told. */
type Membership = {
    readonly current: () => Members;
    /** How many VMs there are, with this one. */
    readonly vms: () => number;
    /** Takes a beacon; undefined where it was overtaken, came from this VM or was its sender's last word. */
    readonly hear: (beacon: Beacon, address: string) => HeardNews | undefined;
    readonly list: (members: readonly (readonly [VmId, string])[]) => void;
    readonly tick: () => void;
    readonly hearing: () => Hearing;
    /** How long a failure domain has been out of hearing; 0 for this VM's own. */
    readonly quietMs: (domain: FailureDomain) => Millis;
    /** Prompt tokens that callers send to the other VMs in a millisecond. */
    readonly demand: () => Tokens;
    /** Whether this VM reads the registry for the others. */
    readonly isReader: () => boolean;
    /** Whether it reads the declarations for the others of its failure domain. */
    readonly isDomainReader: () => boolean;
    /** Time between two beacons to one VM. */
    readonly newsEveryMs: () => Millis;
    /** How many VMs go before this one in claiming the order lease. */
    readonly rank: (lastHolder: VmId | undefined, hasStore: boolean) => number;
};

type SelfInfo = Pick<Members, "vm" | "incarnation" | "seeds"> & { readonly failureDomain: FailureDomain; };

/** Starts with nobody known but the seeds. */
export function createMembership(clock: Clock, { failureDomain, ...self }: SelfInfo): Membership {
    const unknown: Members = { ...self, startedAt: clock.now(), isListed: false, known: new Map() };
    const state = { members: unknown, lastHeard: undefined as ReturnType<typeof lastHeard> | undefined };

    const tell = (event: MembersEvent): void => {
        const before = state.members;
        state.members = stepMembers(before, event, clock.now());
        // Asked for each endpoint of each request, and for most of these in vain between two beacons.
        state.lastHeard = state.members === before ? state.lastHeard : undefined;
    };
    const hear: Membership["hear"] = (beacon, address) => {
        const before = state.members.known.get(beacon.vm)?.heard;
        tell({ kind: "beacon", beacon, address });
        const heard = state.members.known.get(beacon.vm)?.heard;
        return heard?.beacon === beacon ? { heard, before } : undefined;
    };
    const heardAt = (domain: FailureDomain): Millis | undefined => {
        state.lastHeard ??= lastHeard(state.members);
        return state.lastHeard.get(domain);
    };
    return {
        current: () => state.members,
        vms: () => state.members.known.size + 1,
        hear,
        list: members => tell({ kind: "listed", members }),
        tick: () => tell({ kind: "tick" }),
        hearing: () => hearingOf(state.members, clock.now()),
        quietMs: domain =>
            domain === failureDomain
                ? 0
                : quietMs(heardAt(domain), state.members.known.size, clock.now()),
        demand: () => othersDemand(state.members, clock.now()),
        isReader: () => isReader(state.members, clock.now()),
        isDomainReader: () => isReader(state.members, clock.now(), failureDomain),
        newsEveryMs: () => beaconInterval(state.members.known.size),
        rank: (lastHolder, hasStore) => leaseRank(state.members, lastHolder, hasStore, clock.now()),
    };
}
