import type { Millis, Step } from "@azureshunt/core";

import { isOwnBefore } from "./isOwnBefore.js";
import { leaseTiming } from "./leaseTiming.js";
import type { OrderLease } from "./OrderLease.js";
import type { OrderLeaseEffect } from "./OrderLeaseEffect.js";
import type { OrderLeaseEvent } from "./OrderLeaseEvent.js";

type LeaseStep = Step<OrderLease, OrderLeaseEffect>;
type EventOf<Kind extends OrderLeaseEvent["kind"]> = Extract<OrderLeaseEvent, { readonly kind: Kind; }>;

/** A holder renews when less than this fraction of its time is left. */
const RENEW_FRACTION = 0.5;

const only = (state: OrderLease): LeaseStep => ({ state, effects: [] });

const read = (state: OrderLease, event: EventOf<"read">, now: Millis): LeaseStep => {
    const newest = event.records.at(-1);
    const isNewer = newest !== undefined && newest.offset > (state.tail?.offset ?? -1);
    const tail = isNewer ? { ...newest, knownSince: now } : state.tail;
    // A record that this VM did not see appended may be its own, whose answer was lost. It only counts as a claim by
    // some VM, and this VM claims again. Its orders are this process's own, as no other one runs on the VM.
    const ownOffset = event.records.reduce(
        (own, { offset, holder }) => own !== undefined && offset === own + 1 && holder === state.vm ? offset : own,
        state.ownOffset,
    );
    return only({ ...state, isCallPending: false, end: Math.max(event.end, state.end ?? 0), tail, ownOffset });
};

/** Returns since when this process knows of all orders, once it has appended the record at `offset`. */
const ordersKnownSince = (state: OrderLease, event: EventOf<"appended">): Millis => {
    const { offset, requestedAt } = event;
    if (isOwnBefore(state, offset)) {
        // No other process has held the lease since this one's last record.
        return state.ordersKnownSince;
    }
    return offset === 0 || event.areOrdersKnown === true ? -Infinity : requestedAt;
};

/**
 * If the process is suspended while the answer to its claim is in transit, its clock stands still, so it would consider
 * itself the holder when another VM already is. To prevent this, a claim sent before the last suspension does not make
 * this VM the holder; its record remains, and the VM claims again behind it.
 */
const appended = (state: OrderLease, event: EventOf<"appended">): LeaseStep => {
    const { offset, requestedAt } = event;
    return only({
        ...state,
        ownOffset: offset,
        ordersKnownSince: ordersKnownSince(state, event),
        isCallPending: false,
        end: offset + 1,
        tail: { offset, holder: state.vm, knownSince: requestedAt },
        confirmedAt: requestedAt > state.suspendedAt ? requestedAt : -Infinity,
    });
};

const peerRecord = (state: OrderLease, event: EventOf<"peer-record">, now: Millis): LeaseStep => {
    const { offset, holder, ageMs } = event;
    const since = now - ageMs;
    if (offset < (state.tail?.offset ?? -1)) {
        return only(state);
    }
    const isSame = offset === state.tail?.offset;
    const knownSince = isSame ? Math.min(since, state.tail?.knownSince ?? since) : since;
    // If the end is unknown, a peer's record does not make it known: there may be others behind it.
    const end = state.end === undefined ? undefined : Math.max(offset + 1, state.end);
    return only({ ...state, tail: { offset, holder, knownSince }, end });
};

/**
 * Returns the time from which this VM may claim the lease.
 *
 * If a VM claimed while another one still holds the lease, both would issue orders in alternation. To prevent this, a
 * VM other than the last holder claims only when the last record is older than the time for which its writer may use it
 * plus the time after which engines forget its orders; and the store accepts the claim only right behind that record,
 * so a renewal that came first makes the claim void.
 */
const claimAt = (state: OrderLease, wantedAt: Millis, leaseMs: Millis, rank: number): Millis => {
    const { holdMs, marginMs, staggerMs } = leaseTiming;
    if (state.tail === undefined) {
        // Dozens of VMs receive the first target weights at the same moment; all but one would read and claim in vain.
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
    const isHeld = event.isRenewalDue !== true && now - state.confirmedAt < leaseTiming.holdMs * RENEW_FRACTION;
    if (
        wantedAt === undefined || state.isCallPending || isHeld || now < claimAt(state, wantedAt, leaseMs, event.rank)
    ) {
        return only(state);
    }
    const effect: OrderLeaseEffect = state.end === undefined ? { kind: "read" } : { kind: "append", at: state.end };
    return { state: { ...state, isCallPending: true }, effects: [effect] };
};

/**
 * Applies an event to the order lease, by which one VM at a time issues orders, agreed through the store alone. It is
 * claimed only while there are orders to issue, so that idle VMs make no calls.
 *
 * @param leaseMs time for which an engine accepts orders only from the issuer of its last one
 */
export function stepOrderLease(state: OrderLease, event: OrderLeaseEvent, leaseMs: Millis, now: Millis): LeaseStep {
    switch (event.kind) {
        case "read":
            return read(state, event, now);
        case "appended":
            return appended(state, event);
        case "call-failed":
            // The end is unknown now: the lost append may have taken effect, or may still do so.
            return only({ ...state, isCallPending: false, end: undefined });
        case "peer-record":
            return peerRecord(state, event, now);
        case "suspended":
            return only({ ...state, confirmedAt: -Infinity, suspendedAt: now });
        case "tick":
            return tick(state, event, leaseMs, now);
    }
}
