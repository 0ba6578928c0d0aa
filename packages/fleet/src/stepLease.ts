import type { Millis, Step } from "@azureshunt/core";

import type { LeaseEffect } from "./LeaseEffect.js";
import type { LeaseEvent } from "./LeaseEvent.js";
import { LeaseRecord } from "./LeaseRecord.js";
import type { LeaseState } from "./LeaseState.js";

/** Part of the lease's time that is left when the holder renews it. */
const RENEW_PART = 2 / 3;
/** Added to the lease's time before another daemon claims it, for clocks of different rates. */
const CLOCK_MARGIN = 0.1;
/** Between the claims of one daemon and the next in line, so that they do not race. */
const RANK_STAGGER_MS = 500;
/** After which an append without any answer is given up. */
const ASK_TIMEOUT_MS = 5_000;

type Logged = Extract<LeaseEvent, { readonly kind: "read"; }>["records"][number];

/**
 * Failure: two daemons claim at once, or one claims on an old view of the log while the holder renews. It would show as
 * two holders. Guard: a record counts only right behind the last one that its writer knew; whatever another daemon
 * appended in between, valid or not, makes it void, and every reader can tell that from the record alone.
 */
const isValid = (state: LeaseState, offset: number, data: LeaseRecord): boolean =>
    data.after === offset - 1
    && (data.kind === "claim" || state.holder === undefined || data.fencing === state.holder.fencing);

const foldOne = (state: LeaseState, record: Logged, now: Millis): LeaseState => {
    if (record.offset < state.next) {
        return state;
    }
    const read = { ...state, next: record.offset + 1 };
    const isOwn = record.id === state.asked?.id;
    const settled = isOwn ? { ...read, asked: undefined } : read;
    const parsed = LeaseRecord.safeParse(record.data);
    if (!parsed.success || !isValid(state, record.offset, parsed.data)) {
        return settled;
    }
    const { kind, vm, incarnation } = parsed.data;
    const fencing = kind === "claim" ? record.offset : parsed.data.fencing ?? record.offset;
    const held = { ...settled, holder: { vm, incarnation, fencing }, quietSince: now };
    if (incarnation !== state.incarnation) {
        return { ...held, heldUntil: 0 };
    }
    // Counted from when it was asked for: the log may have taken the record at any time since then.
    const heldUntil = isOwn && state.asked !== undefined ? state.asked.at + state.ttlMs : state.heldUntil;
    return { ...held, heldUntil, heldSince: kind === "claim" ? now : state.heldSince };
};

const ask = (
    state: LeaseState,
    event: Extract<LeaseEvent, { readonly kind: "tick"; }>,
    now: Millis,
    data: LeaseRecord,
) => ({
    state: { ...state, asked: { id: event.id, at: now } },
    effects: [{ kind: "append" as const, id: event.id, data }],
});

const tick = (
    state: LeaseState,
    event: Extract<LeaseEvent, { readonly kind: "tick"; }>,
    now: Millis,
): Step<LeaseState, LeaseEffect> => {
    const idle = { state, effects: [] };
    if (state.asked !== undefined && now < state.asked.at + ASK_TIMEOUT_MS) {
        return idle;
    }
    const { vm, incarnation, ttlMs, holder, heldUntil } = state;
    const base = { vm, incarnation, after: state.next - 1 };
    if (heldUntil > now && holder?.incarnation === incarnation) {
        return heldUntil - now < ttlMs * RENEW_PART
            ? ask(state, event, now, { ...base, kind: "renew", fencing: holder.fencing })
            : idle;
    }
    const claimAt = state.quietSince + ttlMs * (1 + CLOCK_MARGIN) + event.rank * RANK_STAGGER_MS;
    return now >= claimAt ? ask(state, event, now, { ...base, kind: "claim" }) : idle;
};

/**
 * The rule of an order lease: one VM of a failure domain at a time, agreed through the log alone.
 *
 * A daemon claims only when it has read no valid record for the lease's whole time, and its claim counts only when
 * nothing was appended that it had not read; the former holder counts from when it asked, which is earlier, so it has
 * stopped by then.
 */
export function stepLease(state: LeaseState, event: LeaseEvent, now: Millis): Step<LeaseState, LeaseEffect> {
    switch (event.kind) {
        case "read":
            return { state: event.records.reduce((at, record) => foldOne(at, record, now), state), effects: [] };
        case "expired":
            return {
                state: {
                    ...state,
                    next: Math.max(state.next, event.start),
                    holder: undefined,
                    quietSince: now,
                    heldUntil: 0,
                },
                effects: [],
            };
        case "append-failed":
            return { state: state.asked?.id === event.id ? { ...state, asked: undefined } : state, effects: [] };
        case "tick":
            return tick(state, event, now);
    }
}
