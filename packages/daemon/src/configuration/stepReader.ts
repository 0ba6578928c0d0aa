import type { Millis, Step } from "@azureshunt/core";
import { adoptState, foldRecord } from "@azureshunt/release";
import type { ConfigurationRecord } from "@azureshunt/release";

import type { ReaderEffect } from "./ReaderEffect.js";
import type { ReaderEvent } from "./ReaderEvent.js";
import type { ReaderState } from "./ReaderState.js";

const LONG_POLL_MS = 1_000;

type ReaderStep = Step<ReaderState, ReaderEffect>;
type PageEvent = Extract<ReaderEvent, { readonly kind: "page"; }>;
type ConfirmedEvent = Extract<ReaderEvent, { readonly kind: "confirmed"; }>;

const isSnapshot = (record: ConfigurationRecord): boolean =>
    typeof record.data === "object" && record.data !== null && "kind" in record.data
    && record.data.kind === "snapshot";

const readEffect = (state: ReaderState, waitMs: number): ReaderEffect => ({
    kind: "read",
    from: state.cursor,
    waitMs,
    failures: state.failures,
});

/** Returns the effects of a changed fold: waiting calls are checked, and a newer configuration is published. */
const changeEffects = (before: ReaderState, after: ReaderState): readonly ReaderEffect[] => {
    const { configuration } = after.fold;
    const previousRevision = before.isStarting ? 0 : before.fold.configuration.revision;
    const isNewer = !after.isStarting && configuration.revision > previousRevision;
    return [
        ...(after.fold === before.fold ? [] : [{ kind: "advanced" as const, fold: after.fold }]),
        ...(isNewer ? [{ kind: "publish" as const, configuration }] : []),
    ];
};

const withNewestSnapshot = (state: ReaderState, records: readonly ConfigurationRecord[], now: Millis): ReaderState => {
    const newest = records.filter(isSnapshot).at(-1);
    if (newest === undefined || newest.offset <= state.snapshotOffset) {
        return state;
    }
    // A snapshot read while catching up may be as old as the log; its age is known only if its arrival was observed.
    const snapshotAt = state.confirmedAt === undefined ? undefined : now;
    return { ...state, snapshotOffset: newest.offset, snapshotAt };
};

const onPage = (state: ReaderState, event: PageEvent, now: Millis): ReaderStep => {
    const { start, end, records } = event;
    const fold = records.reduce((at, record) => foldRecord(at, record).state, state.fold);
    // After records expired, only a snapshot can advance the fold, so the records that remain are searched for one.
    // Once it is found, reading continues at the offset that the snapshot represents.
    const isSearching = fold.offset < start;
    const cursor = isSearching ? (records.at(-1)?.offset ?? event.from - 1) + 1 : fold.offset;
    const isStuck = cursor === event.from && records.length > 0;
    const isAtEnd = fold.offset >= end;
    const next: ReaderState = {
        ...withNewestSnapshot(state, records, now),
        fold,
        cursor,
        failures: isStuck ? state.failures + 1 : 0,
        confirmedAt: isAtEnd ? now - event.pausedMs : state.confirmedAt,
        isStarting: state.isStarting && !isAtEnd,
        logStart: start,
    };
    return { state: next, effects: [...changeEffects(state, next), readEffect(next, cursor < end ? 0 : LONG_POLL_MS)] };
};

const onConfirmed = (state: ReaderState, event: ConfirmedEvent): ReaderStep => {
    const { configuration, digest } = state.fold;
    const isSame = event.revision === configuration.revision && event.digest === digest;
    const confirmedAt = isSame ? Math.max(state.confirmedAt ?? event.at, event.at) : state.confirmedAt;
    return { state: { ...state, confirmedAt }, effects: [] };
};

/**
 * Handles an event of the configuration stream's reader. The fold's revision never decreases: records are folded in
 * order, and the state of a peer is adopted only if it is newer.
 */
export function stepReader(state: ReaderState, event: ReaderEvent, now: Millis): ReaderStep {
    switch (event.kind) {
        case "page":
            return onPage(state, event, now);
        case "expired": {
            const next = { ...state, cursor: Math.max(event.start, state.fold.offset), logStart: event.start };
            return { state: next, effects: [readEffect(next, 0)] };
        }
        case "failed": {
            const next = { ...state, failures: state.failures + 1 };
            return { state: next, effects: [readEffect(next, LONG_POLL_MS)] };
        }
        case "pulled": {
            const fold = adoptState(state.fold, event.fold);
            const isJoining = state.fold.offset === 0 || state.fold.offset < state.logStart;
            // A joining daemon does not know the newest snapshot's offset in the log; it uses that of the peer's state.
            const snapshotOffset = isJoining ? Math.max(state.snapshotOffset, fold.offset) : state.snapshotOffset;
            const next = { ...state, fold, snapshotOffset };
            return { state: next, effects: changeEffects(state, next) };
        }
        case "confirmed":
            return onConfirmed(state, event);
        case "suspended":
            return { state: { ...state, confirmedAt: undefined }, effects: [] };
        case "started": {
            const next = { ...state, isStarting: false };
            return { state: next, effects: changeEffects(state, next) };
        }
    }
}
