import type { Millis, Step } from "@azureshunt/core";

import { leaseTiming } from "./leaseTiming.js";
import type { OrderLease } from "./OrderLease.js";
import type { OrderLeaseEffect } from "./OrderLeaseEffect.js";
import type { OrderLeaseEvent } from "./OrderLeaseEvent.js";

type LeaseStep = Step<OrderLease, OrderLeaseEffect>;
type EventOf<Kind extends OrderLeaseEvent["kind"]> = Extract<OrderLeaseEvent, { readonly kind: Kind; }>;

/** A holder renews when less than this part of its time is left. */
const RENEW_PART = 0.5;

const only = (state: OrderLease): LeaseStep => ({ state, effects: [] });

const read = (state: OrderLease, event: EventOf<"read">, now: Millis): LeaseStep => {
    const newest = event.records.at(-1);
    const isNews = newest !== undefined && newest.offset > (state.tail?.offset ?? -1);
    const tail = isNews ? { ...newest, knownSince: now } : state.tail;
    // A record that this VM did not see appended may be its own from before a lost answer: it only counts as a claim
    // by someone, and the VM asks anew.
    return only({ ...state, isAsking: false, end: Math.max(event.end, state.end ?? 0), tail });
};

/**
 * Failure: the process is suspended while the answer to its claim is on the way. Its clock stood still, so it takes itself
 * for the holder while another VM already is. Guard: a claim that was sent before the last pause makes nobody the holder;
 * its record stands, and the VM claims anew behind it.
 */
const appended = (state: OrderLease, { offset, askedAt }: EventOf<"appended">): LeaseStep =>
    only({
        ...state,
        isAsking: false,
        end: offset + 1,
        tail: { offset, holder: state.vm, knownSince: askedAt },
        confirmedAt: askedAt > state.pausedAt ? askedAt : -Infinity,
    });

const vouched = (state: OrderLease, event: EventOf<"vouched">, now: Millis): LeaseStep => {
    const { offset, holder, ageMs } = event;
    const since = now - ageMs;
    if (offset < (state.tail?.offset ?? -1)) {
        return only(state);
    }
    const isSame = offset === state.tail?.offset;
    const knownSince = isSame ? Math.min(since, state.tail?.knownSince ?? since) : since;
    // Where the end is not known, a record that is told of does not make it known: others may lie behind it.
    const end = state.end === undefined ? undefined : Math.max(offset + 1, state.end);
    return only({ ...state, tail: { offset, holder, knownSince }, end });
};

/**
 * Failure: two VMs give orders by turns, since one claims while the other still holds. Guard: a VM other than the last
 * holder claims only when the last record has lain there for longer than its writer may use it and an engine forgets
 * its orders; and the store takes the claim only right behind that record, so a renewal that came first makes it void.
 */
const claimAt = (state: OrderLease, wantedAt: Millis, leaseMs: Millis, rank: number): Millis => {
    const { holdMs, marginMs, staggerMs } = leaseTiming;
    if (state.tail === undefined) {
        // Dozens of VMs learn of the first weights at the same moment; all but one would read and claim in vain.
        return wantedAt + rank * staggerMs;
    }
    if (state.tail.holder === state.vm) {
        return -Infinity;
    }
    return state.tail.knownSince + holdMs + leaseMs + marginMs + rank * staggerMs;
};

const tick = (before: OrderLease, event: EventOf<"tick">, leaseMs: Millis, now: Millis): LeaseStep => {
    const wantedAt = event.isWanted ? before.wantedAt ?? now : undefined;
    const state = { ...before, wantedAt };
    const isHeld = now - state.confirmedAt < leaseTiming.holdMs * RENEW_PART;
    if (wantedAt === undefined || state.isAsking || isHeld || now < claimAt(state, wantedAt, leaseMs, event.rank)) {
        return only(state);
    }
    const effect: OrderLeaseEffect = state.end === undefined ? { kind: "read" } : { kind: "append", at: state.end };
    return { state: { ...state, isAsking: true }, effects: [effect] };
};

/**
 * The rule of the order lease: one VM at a time gives orders, agreed through the store alone. It is claimed only while
 * there are orders to give, so that an idle fleet makes no calls.
 *
 * @param leaseMs how long an engine's last order binds it to its giver
 */
export function stepOrderLease(state: OrderLease, event: OrderLeaseEvent, leaseMs: Millis, now: Millis): LeaseStep {
    switch (event.kind) {
        case "read":
            return read(state, event, now);
        case "appended":
            return appended(state, event);
        case "unsure":
            // The end is not known any more: the lost append may have taken effect, or may yet do so.
            return only({ ...state, isAsking: false, end: undefined });
        case "vouched":
            return vouched(state, event, now);
        case "paused":
            return only({ ...state, confirmedAt: -Infinity, pausedAt: now });
        case "tick":
            return tick(state, event, leaseMs, now);
    }
}
