import type { Millis, Step } from "@azureshunt/core";

import type { LeaseEffect } from "./LeaseEffect.js";
import type { LeaseEvent } from "./LeaseEvent.js";
import { LeaseRecord } from "./LeaseRecord.js";
import type { LeaseState } from "./LeaseState.js";

/** The holder renews the lease once less than this fraction of its validity remains. */
const RENEW_FRACTION = 2 / 3;
/** Fraction of the validity to wait in addition before claiming, as clocks run at different rates. */
const CLOCK_MARGIN_FRACTION = 0.1;
/** Delay between the claims of one daemon and the next in order, so that they do not race. */
const RANK_STAGGER_MS = 500;
/** Time after which an append without an answer is given up. */
const APPEND_TIMEOUT_MS = 5_000;

type LoggedRecord = Extract<LeaseEvent, { readonly kind: "read"; }>["records"][number];

/**
 * Returns whether a record is valid.
 *
 * Two daemons may claim at once, or one may claim from an outdated view of the log while the holder renews. Symptom:
 * two holders. To prevent this, a record is valid only directly after the last record that its writer knew. Any record
 * that another daemon appended in between, valid or not, makes it invalid, and every reader can tell this from the
 * record alone.
 */
const isValid = (state: LeaseState, offset: number, data: LeaseRecord): boolean =>
    data.after === offset - 1
    && (data.kind === "claim" || state.holder === undefined || data.fencing === state.holder.fencing);

const applyRecord = (state: LeaseState, record: LoggedRecord, now: Millis): LeaseState => {
    if (record.offset < state.next) {
        return state;
    }
    const advanced = { ...state, next: record.offset + 1 };
    const isOwn = record.id === state.pendingAppend?.id;
    const settled = isOwn ? { ...advanced, pendingAppend: undefined } : advanced;
    const parsed = LeaseRecord.safeParse(record.data);
    if (!parsed.success || !isValid(state, record.offset, parsed.data)) {
        return settled;
    }
    const { kind, vm, incarnation } = parsed.data;
    const fencing = kind === "claim" ? record.offset : parsed.data.fencing ?? record.offset;
    const updated = { ...settled, holder: { vm, incarnation, fencing }, silentSince: now };
    if (incarnation !== state.incarnation) {
        return { ...updated, heldUntil: 0 };
    }
    // Measured from the request, as the log may have appended the record at any time since then.
    const heldUntil = isOwn && state.pendingAppend !== undefined
        ? state.pendingAppend.requestedAt + state.ttlMs
        : state.heldUntil;
    return { ...updated, heldUntil, heldSince: kind === "claim" ? now : state.heldSince };
};

const requestAppend = (
    state: LeaseState,
    event: Extract<LeaseEvent, { readonly kind: "tick"; }>,
    now: Millis,
    data: LeaseRecord,
) => ({
    state: { ...state, pendingAppend: { id: event.id, requestedAt: now } },
    effects: [{ kind: "append" as const, id: event.id, data }],
});

const tick = (
    state: LeaseState,
    event: Extract<LeaseEvent, { readonly kind: "tick"; }>,
    now: Millis,
): Step<LeaseState, LeaseEffect> => {
    const unchanged = { state, effects: [] };
    if (state.pendingAppend !== undefined && now < state.pendingAppend.requestedAt + APPEND_TIMEOUT_MS) {
        return unchanged;
    }
    const { vm, incarnation, ttlMs, holder, heldUntil } = state;
    const base = { vm, incarnation, after: state.next - 1 };
    if (heldUntil > now && holder?.incarnation === incarnation) {
        return heldUntil - now < ttlMs * RENEW_FRACTION
            ? requestAppend(state, event, now, { ...base, kind: "renew", fencing: holder.fencing })
            : unchanged;
    }
    const claimAt = state.silentSince + ttlMs * (1 + CLOCK_MARGIN_FRACTION) + event.rank * RANK_STAGGER_MS;
    return now >= claimAt ? requestAppend(state, event, now, { ...base, kind: "claim" }) : unchanged;
};

/**
 * Applies an event to an order lease, which at most one VM of a failure domain holds at a time. VMs coordinate only
 * through the log.
 *
 * A daemon claims the lease only after it has read no valid record for the whole validity of a lease, and its claim is
 * valid only if nothing was appended that it had not read. The previous holder measures its lease from its request,
 * which is earlier, so it has stopped sending orders by then.
 */
export function stepLease(state: LeaseState, event: LeaseEvent, now: Millis): Step<LeaseState, LeaseEffect> {
    switch (event.kind) {
        case "read":
            return {
                state: event.records.reduce((current, record) => applyRecord(current, record, now), state),
                effects: [],
            };
        case "expired":
            return {
                state: {
                    ...state,
                    next: Math.max(state.next, event.start),
                    holder: undefined,
                    silentSince: now,
                    heldUntil: 0,
                },
                effects: [],
            };
        case "append-failed":
            return {
                state: state.pendingAppend?.id === event.id ? { ...state, pendingAppend: undefined } : state,
                effects: [],
            };
        case "tick":
            return tick(state, event, now);
    }
}
