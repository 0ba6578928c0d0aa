import type { Millis, VmId } from "@azureshunt/core";

import type { Departure } from "./Departure.js";
import type { MemberEntry } from "./MemberEntry.js";
import type { Membership } from "./Membership.js";
import type { MembershipRecord } from "./MembershipRecord.js";

const entryOf = (record: MembershipRecord, since: Millis): MemberEntry => ({
    vm: record.vm,
    run: record.run,
    failureDomain: record.failureDomain,
    peer: record.peer,
    admin: record.admin,
    since,
    listed: false,
    state: "live",
    missingSince: undefined,
});

const domainPeers = (membership: Membership): readonly VmId[] =>
    [...membership.members.values()]
        .filter(member => member.failureDomain === membership.self.failureDomain && member.vm !== membership.self.vm)
        .map(member => member.vm);

/**
 * Folds this incarnation's own join. A former incarnation that neither left nor was dropped may have been home until
 * this one started, so this VM waits until its grants have expired. If there is no VM to ask for a hand-over and the
 * complete log shows no earlier member of this failure domain, no token was ever spent.
 */
const foldOwnJoin = (membership: Membership, offset: number): Membership => {
    const former = membership.members.get(membership.self.vm);
    const awaiting = domainPeers(membership);
    const isFirst = former === undefined && awaiting.length === 0 && membership.complete && !membership.hadDepartures;
    const mustWait = former !== undefined || (awaiting.length === 0 && !isFirst);
    const emptyFrom = mustWait ? membership.startedAt + membership.keepMs : -Infinity;
    return { ...membership, joinedAt: offset, awaiting, emptyFrom, departures: [] };
};

const foldJoin = (membership: Membership, record: MembershipRecord, offset: number, now: Millis): Membership => {
    const { self, members } = membership;
    if (members.get(record.vm)?.run === record.run) {
        return membership;
    }
    const isOwn = record.vm === self.vm && record.run === self.run;
    const joined = isOwn ? foldOwnJoin(membership, offset) : membership;
    return { ...joined, members: new Map([...members, [record.vm, entryOf(record, now)]]) };
};

const foldEnd = (membership: Membership, record: MembershipRecord, now: Millis): Membership => {
    const { self, members } = membership;
    const member = members.get(record.vm);
    if (member?.run !== record.run) {
        return membership;
    }
    const rest = new Map([...members].filter(([vm]) => vm !== record.vm));
    const isSameDomain = member.failureDomain === self.failureDomain;
    if (record.vm === self.vm) {
        // This VM was dropped although it runs, or has left: it is home of no organisation until it has joined again.
        const joinedAt = record.run === self.run ? undefined : membership.joinedAt;
        return { ...membership, members: rest, hadDepartures: true, joinedAt, appendedAt: undefined };
    }
    const departure: Departure = {
        vm: record.vm,
        waitUntil: now + membership.keepMs,
        emptyFrom: now + membership.keepMs,
    };
    const departures = [
        ...membership.departures.filter(({ vm }) => vm !== record.vm),
        ...isSameDomain ? [departure] : [],
    ];
    const awaiting = membership.awaiting.filter(vm => vm !== record.vm);
    const hadDepartures = membership.hadDepartures || isSameDomain;
    return { ...membership, members: rest, departures, awaiting, hadDepartures };
};

/** Folds one record of the log into the membership. A record that was folded before changes nothing. */
export function foldRecord(
    membership: Membership,
    record: MembershipRecord,
    offset: number,
    now: Millis,
): Membership {
    return record.kind === "join" ? foldJoin(membership, record, offset, now) : foldEnd(membership, record, now);
}
