import type { Millis, Step, VmId } from "@azureshunt/core";
import { rendezvousOrder } from "@azureshunt/core";

import { foldRecord } from "./foldRecord.js";
import type { MemberEntry } from "./MemberEntry.js";
import type { Membership } from "./Membership.js";
import type { MembershipEffect } from "./MembershipEffect.js";
import type { MembershipEvent } from "./MembershipEvent.js";
import { membershipTiming as timing } from "./membershipTiming.js";

type MembershipStep = Step<Membership, MembershipEffect>;
type EventOf<Kind extends MembershipEvent["kind"]> = Extract<MembershipEvent, { readonly kind: Kind; }>;

const CHANGED: MembershipEffect = { kind: "changed" };

const askHandOvers = (membership: Membership): readonly MembershipEffect[] =>
    membership.joinedAt === undefined
        ? []
        : membership.awaiting.map(of => ({ kind: "ask-hand-over", of, joinedAt: membership.joinedAt ?? 0 }));

const isJoinDue = (membership: Membership, now: Millis): boolean => {
    const { appendedAt, isLeaving, joinedAt } = membership;
    const intervalMs = joinedAt === undefined ? timing.rejoinMs : timing.refreshMs;
    return !isLeaving && membership.caughtUp && (appendedAt === undefined || appendedAt + intervalMs <= now);
};

const read = (before: Membership, event: EventOf<"read">, now: Millis): MembershipStep => {
    const folded = event.records.reduce(
        (membership, { record, offset }) => foldRecord(membership, record, offset, now),
        // If the page begins after the last folded record, the records in between have expired.
        { ...before, complete: before.complete && event.from <= before.offset },
    );
    const isMember = folded.members.get(folded.self.vm)?.run === folded.self.run;
    const state = {
        ...folded,
        offset: Math.max(before.offset, event.next),
        caughtUp: before.caughtUp || event.atEnd,
        confirmedByLog: before.confirmedByLog || (event.atEnd && isMember),
    };
    const joined = before.joinedAt === undefined ? askHandOvers(state) : [];
    const due = isJoinDue(state, now);
    const append: readonly MembershipEffect[] = due ? [{ kind: "append", record: state.self }] : [];
    const changed = state.members !== before.members || state.confirmedByLog !== before.confirmedByLog ||
        state.caughtUp !== before.caughtUp;
    return {
        state: { ...state, appendedAt: due ? now : state.appendedAt },
        effects: [...append, ...joined, ...changed ? [CHANGED] : []],
    };
};

const missingSinceOf = (member: MemberEntry, present: boolean, now: Millis): Millis | undefined => {
    const due = member.listed || member.since + timing.listLagMs <= now;
    return present || !due ? undefined : member.missingSince ?? now;
};

const dropsDue = (membership: Membership, now: Millis): readonly MembershipEffect[] => {
    const vms = [...membership.members.keys()];
    return [...membership.members.values()]
        .filter(member => member.vm !== membership.self.vm && member.missingSince !== undefined)
        .filter(member => {
            const rank = rendezvousOrder<VmId>(member.vm, vms.filter(vm => vm !== member.vm)).indexOf(
                membership.self.vm,
            );
            return rank >= 0 && (member.missingSince ?? now) + rank * timing.dropStepMs <= now;
        })
        .map(({ vm, run, failureDomain, peer, admin }) => ({
            kind: "append",
            record: { kind: "drop", vm, run, failureDomain, peer, admin },
        }));
};

const listed = (before: Membership, event: EventOf<"listed">, now: Millis): MembershipStep => {
    const entries = new Map(event.vms.map(vm => [vm.vm, vm]));
    const members = new Map([...before.members].map(([vm, member]) => {
        const entry = entries.get(vm);
        const present = entry !== undefined;
        const state = entry?.state ?? member.state;
        return [vm, {
            ...member,
            state,
            listed: member.listed || present,
            missingSince: missingSinceOf(member, present, now),
        }];
    }));
    const confirmedByList = before.confirmedByList || entries.has(before.self.vm);
    const state = { ...before, members, confirmedByList };
    const changed = confirmedByList !== before.confirmedByList ||
        [...members].some(([vm, member]) => member.state !== before.members.get(vm)?.state);
    return { state, effects: [...dropsDue(state, now), ...changed ? [CHANGED] : []] };
};

const handedOver = (before: Membership, event: EventOf<"handed-over">, now: Millis): MembershipStep => {
    const since = now - event.ageMs;
    if (before.awaiting.includes(event.from)) {
        const awaiting = before.awaiting.filter(vm => vm !== event.from);
        return {
            state: { ...before, awaiting, emptyFrom: Math.max(before.emptyFrom, since) },
            effects: [CHANGED],
        };
    }
    // The VM left gracefully, so there is no need to wait for its grants to expire.
    const departures = before.departures.map(departure =>
        departure.vm === event.from
            ? { ...departure, waitUntil: now, emptyFrom: Math.min(departure.emptyFrom, since) }
            : departure
    );
    return { state: { ...before, departures }, effects: [CHANGED] };
};

/** A VM that has not appended a join, or whose leave has been read, has nothing to give up. */
const leave = (before: Membership): MembershipStep => ({
    state: { ...before, isLeaving: true },
    effects: before.appendedAt === undefined
        ? []
        : [{ kind: "append", record: { ...before.self, kind: "leave" } }],
});

/**
 * Detects a suspension of this process. A process that resumes after a suspension would still act as home, and spend in
 * addition to the VM that has become home meanwhile. To prevent this, a long time between two ticks counts as a
 * suspension, and this VM does not serve as home until both list and log have shown it as a member afterwards.
 */
const tick = (before: Membership, now: Millis): MembershipStep => {
    const wasSuspended = now - before.tickedAt > timing.suspensionMs;
    const due = isJoinDue(before, now);
    const state: Membership = {
        ...before,
        tickedAt: now,
        confirmedByLog: before.confirmedByLog && !wasSuspended,
        confirmedByList: before.confirmedByList && !wasSuspended,
        appendedAt: due ? now : before.appendedAt,
    };
    return {
        state,
        effects: [
            ...due ? [{ kind: "append", record: before.self } as const] : [],
            ...askHandOvers(state),
            ...wasSuspended ? [CHANGED] : [],
        ],
    };
};

/**
 * Applies one event to the membership. While neither log nor list can be read, there are no events that change members.
 */
export function stepMembership(before: Membership, event: MembershipEvent, now: Millis): MembershipStep {
    switch (event.kind) {
        case "read":
            return read(before, event, now);
        case "listed":
            return listed(before, event, now);
        case "handed-over":
            return handedOver(before, event, now);
        case "gave":
            return { state: { ...before, handedTo: [...before.handedTo, event.to].slice(-256) }, effects: [] };
        case "leave":
            return leave(before);
        case "tick":
            return tick(before, now);
    }
}
