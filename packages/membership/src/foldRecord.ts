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
 * Takes in this process's own join. A former run that neither left nor was dropped can have been home until this one
 * started, so its grants are waited out. With nobody to ask and nothing before in the log, no token was ever spent.
 */
const foldOwnJoin = (membership: Membership, offset: number): Membership => {
    const former = membership.members.get(membership.self.vm);
    const awaiting = domainPeers(membership);
    const first = former === undefined && awaiting.length === 0 && membership.complete && !membership.hadDepartures;
    const waitsOut = former !== undefined || (awaiting.length === 0 && !first);
    const emptyFrom = waitsOut ? membership.startedAt + membership.keepMs : -Infinity;
    return { ...membership, joinedAt: offset, awaiting, emptyFrom, departures: [] };
};

const foldJoin = (membership: Membership, record: MembershipRecord, offset: number, now: Millis): Membership => {
    const { self, members } = membership;
    if (members.get(record.vm)?.run === record.run) {
        return membership;
    }
    const own = record.vm === self.vm && record.run === self.run;
    const joined = own ? foldOwnJoin(membership, offset) : membership;
    return { ...joined, members: new Map([...members, [record.vm, entryOf(record, now)]]) };
};

const foldEnd = (membership: Membership, record: MembershipRecord, now: Millis): Membership => {
    const { self, members } = membership;
    const member = members.get(record.vm);
    if (member?.run !== record.run) {
        return membership;
    }
    const rest = new Map([...members].filter(([vm]) => vm !== record.vm));
    const near = member.failureDomain === self.failureDomain;
    if (record.vm === self.vm) {
        // Dropped although it runs, or gone: it is home of nothing until it has joined anew.
        const joinedAt = record.run === self.run ? undefined : membership.joinedAt;
        return { ...membership, members: rest, hadDepartures: true, joinedAt, appendedAt: undefined };
    }
    const departure: Departure = {
        vm: record.vm,
        clearAt: now + membership.keepMs,
        emptyFrom: now + membership.keepMs,
    };
    const departures = [...membership.departures.filter(({ vm }) => vm !== record.vm), ...near ? [departure] : []];
    const awaiting = membership.awaiting.filter(vm => vm !== record.vm);
    const hadDepartures = membership.hadDepartures || near;
    return { ...membership, members: rest, departures, awaiting, hadDepartures };
};

/** Folds one record of the log. A record that was folded before changes nothing. */
export function foldRecord(
    membership: Membership,
    record: MembershipRecord,
    offset: number,
    now: Millis,
): Membership {
    return record.kind === "join" ? foldJoin(membership, record, offset, now) : foldEnd(membership, record, now);
}
