import type { Millis } from "@azureshunt/core";

import type { ReaderState } from "./ReaderState.js";

/** Records after which a snapshot is due, for logs that limit their retention by number of records, not by time. */
const MAX_RECORDS = 128;

/**
 * Returns whether a new snapshot of the configuration should be appended to the log.
 *
 * The log drops records after a time that this daemon does not know. Without a newer snapshot, a daemon that starts
 * later would find neither the notes nor a snapshot of them. Symptom: a daemon that never becomes ready. To prevent
 * this, a snapshot is due after `everyMs` (a quarter of the declared retention), after a number of records, or when the
 * newest snapshot is in the older half of the records that the log keeps; whichever comes first.
 *
 * @param watchedSince when this daemon started watching; the age of a snapshot whose arrival it did not observe counts
 *     from then
 * @param everyMs interval between snapshots, from the settings
 */
export function isSnapshotDue(state: ReaderState, now: Millis, watchedSince: Millis, everyMs: number): boolean {
    const { fold, snapshotOffset, snapshotAt, logStart } = state;
    const isCurrent = state.confirmedAt !== undefined && fold.offset >= state.cursor;
    const isOld = now - (snapshotAt ?? watchedSince) >= everyMs;
    const hasManyNewerRecords = fold.offset - snapshotOffset > MAX_RECORDS;
    const isNearExpiry = logStart > 0 && snapshotOffset - logStart < (fold.offset - logStart) / 2;
    return isCurrent && fold.configuration.revision > 0 && (isOld || hasManyNewerRecords || isNearExpiry);
}
