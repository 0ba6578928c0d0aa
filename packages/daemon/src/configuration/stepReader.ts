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

const read = (state: ReaderState, waitMs: number): ReaderEffect => ({
    kind: "read",
    from: state.cursor,
    waitMs,
    failures: state.failures,
});

/** Adds what follows from a changed fold: waiters look again, and a newer configuration comes into force. */
const announced = (before: ReaderState, after: ReaderState): readonly ReaderEffect[] => {
    const { configuration } = after.fold;
    const former = before.isStarting ? 0 : before.fold.configuration.revision;
    const isNewer = !after.isStarting && configuration.revision > former;
    return [
        ...(after.fold === before.fold ? [] : [{ kind: "advanced" as const, fold: after.fold }]),
        ...(isNewer ? [{ kind: "publish" as const, configuration }] : []),
    ];
};

const afterSnapshots = (state: ReaderState, records: readonly ConfigurationRecord[], now: Millis): ReaderState => {
    const newest = records.filter(isSnapshot).at(-1);
    if (newest === undefined || newest.offset <= state.snapshotOffset) {
        return state;
    }
    // One that was read while catching up may be as old as the log; only one that was seen to come has a known age.
    const snapshotAt = state.confirmedAt === undefined ? undefined : now;
    return { ...state, snapshotOffset: newest.offset, snapshotAt };
};

const onPage = (state: ReaderState, event: PageEvent, now: Millis): ReaderStep => {
    const { start, end, records } = event;
    const fold = records.reduce((at, record) => foldRecord(at, record).state, state.fold);
    // Behind expired records nothing but a snapshot moves the fold, so the search for one goes on from record to
    // record; with a snapshot found, reading goes back to the offset that the snapshot stands for.
    const isSearching = fold.offset < start;
    const cursor = isSearching ? (records.at(-1)?.offset ?? event.from - 1) + 1 : fold.offset;
    const isStuck = cursor === event.from && records.length > 0;
    const isNewest = fold.offset >= end;
    const next: ReaderState = {
        ...afterSnapshots(state, records, now),
        fold,
        cursor,
        failures: isStuck ? state.failures + 1 : 0,
        confirmedAt: isNewest ? now : state.confirmedAt,
        isStarting: state.isStarting && !isNewest,
        logStart: start,
    };
    return { state: next, effects: [...announced(state, next), read(next, cursor < end ? 0 : LONG_POLL_MS)] };
};

const onConfirmed = (state: ReaderState, event: ConfirmedEvent): ReaderStep => {
    const { configuration, digest } = state.fold;
    const isSame = event.revision === configuration.revision && event.digest === digest;
    const confirmedAt = isSame ? Math.max(state.confirmedAt ?? event.at, event.at) : state.confirmedAt;
    return { state: { ...state, confirmedAt }, effects: [] };
};

/**
 * Decides how the configuration stream is read on. The fold's revision never goes down: records are folded in order,
 * and a peer's state is only taken when it is further on.
 */
export function stepReader(state: ReaderState, event: ReaderEvent, now: Millis): ReaderStep {
    switch (event.kind) {
        case "page":
            return onPage(state, event, now);
        case "expired": {
            const next = { ...state, cursor: Math.max(event.start, state.fold.offset), logStart: event.start };
            return { state: next, effects: [read(next, 0)] };
        }
        case "failed": {
            const next = { ...state, failures: state.failures + 1 };
            return { state: next, effects: [read(next, LONG_POLL_MS)] };
        }
        case "pulled": {
            const fold = adoptState(state.fold, event.fold);
            const isJoining = state.fold.offset === 0 || state.fold.offset < state.logStart;
            // Where the log's newest snapshot stands is not known to one that joins; it counts from where it joined.
            const snapshotOffset = isJoining ? Math.max(state.snapshotOffset, fold.offset) : state.snapshotOffset;
            const next = { ...state, fold, snapshotOffset };
            return { state: next, effects: announced(state, next) };
        }
        case "confirmed":
            return onConfirmed(state, event);
        case "started": {
            const next = { ...state, isStarting: false };
            return { state: next, effects: announced(state, next) };
        }
    }
}
