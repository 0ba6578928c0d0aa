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

const joinIsDue = (membership: Membership, now: Millis): boolean => {
    const { appendedAt, joinedAt } = membership;
    const pause = joinedAt === undefined ? timing.rejoinMs : timing.refreshMs;
    return membership.caughtUp && (appendedAt === undefined || appendedAt + pause <= now);
};

const read = (before: Membership, event: EventOf<"read">, now: Millis): MembershipStep => {
    const folded = event.records.reduce(
        (membership, { record, offset }) => foldRecord(membership, record, offset, now),
        // Records between what was folded and the start of the log have expired.
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
    const due = joinIsDue(state, now);
    const append: readonly MembershipEffect[] = due ? [{ kind: "append", record: state.self }] : [];
    const changed = state.members !== before.members || state.confirmedByLog !== before.confirmedByLog ||
        state.caughtUp !== before.caughtUp;
    return {
        state: { ...state, appendedAt: due ? now : state.appendedAt },
        effects: [...append, ...joined, ...changed ? [CHANGED] : []],
    };
};

const missingOf = (member: MemberEntry, present: boolean, now: Millis): Millis | undefined => {
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
            missingSince: missingOf(member, present, now),
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
    // A VM that left gracefully: nothing of its is to be waited out.
    const departures = before.departures.map(departure =>
        departure.vm === event.from
            ? { ...departure, clearAt: now, emptyFrom: Math.min(departure.emptyFrom, since) }
            : departure
    );
    return { state: { ...before, departures }, effects: [CHANGED] };
};

/**
 * Notices a pause of this process. Failure guarded against: a paused process wakes up, holds itself for home still, and
 * spends beside the VM that has become home meanwhile. The jump between two ticks shows the pause, and all spending as
 * home stops until both list and log have named this run as a member after it.
 */
const tick = (before: Membership, now: Millis): MembershipStep => {
    const paused = now - before.tickedAt > timing.pauseMs;
    const due = joinIsDue(before, now);
    const state: Membership = {
        ...before,
        tickedAt: now,
        confirmedByLog: before.confirmedByLog && !paused,
        confirmedByList: before.confirmedByList && !paused,
        appendedAt: due ? now : before.appendedAt,
    };
    return {
        state,
        effects: [
            ...due ? [{ kind: "append", record: before.self } as const] : [],
            ...askHandOvers(state),
            ...paused ? [CHANGED] : [],
        ],
    };
};

/** The rule of the membership. While neither log nor list can be read, nothing comes in and the members stay as they are. */
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
        case "tick":
            return tick(before, now);
    }
}
