import type { Millis } from "@azureshunt/core";

import type { ReaderState } from "./ReaderState.js";

/** Records after which a snapshot is due, for a log that keeps a number of records rather than a time. */
const MAX_RECORDS = 128;

/**
 * Tells whether the configuration should be appended anew as a snapshot.
 *
 * Failure: the log drops records after a time that this daemon does not learn, and a daemon that starts later finds
 * neither the notes nor a snapshot of them. It shows as a daemon that is never ready. The guard: a snapshot is due at
 * a quarter of the declared retention, after a number of records, and once the newest one has moved into the older half
 * of what the log still keeps; whichever comes first.
 *
 * @param since when this daemon began to watch; counts as the age of a snapshot that it did not see come
 * @param everyMs from the settings
 */
export function isSnapshotDue(state: ReaderState, now: Millis, since: Millis, everyMs: number): boolean {
    const { fold, snapshotOffset, snapshotAt, logStart } = state;
    const isCurrent = state.confirmedAt !== undefined && fold.offset >= state.cursor;
    const isOld = now - (snapshotAt ?? since) >= everyMs;
    const isFarBack = fold.offset - snapshotOffset > MAX_RECORDS;
    const isExpiring = logStart > 0 && snapshotOffset - logStart < (fold.offset - logStart) / 2;
    return isCurrent && fold.configuration.revision > 0 && (isOld || isFarBack || isExpiring);
}
