import { emptyPartition } from "./emptyPartition.js";
import { foldIntents } from "./foldIntents.js";
import type { IntentPartition } from "./IntentPartition.js";
import type { IntentRecord } from "./IntentRecord.js";
import type { LoggedIntent } from "./LoggedIntent.js";

type SnapshotPart = Extract<IntentRecord, { type: "snapshot"; }>;

const partsOf = (records: readonly LoggedIntent[]): readonly SnapshotPart[] =>
    records.flatMap(({ record }) => (record?.type === "snapshot" ? [record] : []));

const newestSnapshot = (records: readonly LoggedIntent[], start: number): IntentPartition | undefined => {
    const parts = partsOf(records);
    const isComplete = ({ snapshotId, parts: partCount }: SnapshotPart): boolean =>
        new Set(parts.filter(part => part.snapshotId === snapshotId).map(part => part.part)).size === partCount;
    const newestPart = parts
        .filter(part => part.upTo >= start && isComplete(part))
        .sort((a, b) => b.upTo - a.upTo)
        .at(0);
    if (newestPart === undefined) {
        return undefined;
    }
    const entries = parts.filter(part => part.snapshotId === newestPart.snapshotId).flatMap(part => part.entries);
    return {
        next: newestPart.upTo,
        lastAt: 0,
        completeFrom: newestPart.vouchedFrom,
        entries: new Map(entries.map(entry => [entry.key, entry])),
    };
};

/**
 * Builds the state of a partition from all records that the log retains.
 *
 * If the log has dropped the intent of a key that was used within the window, the request would run again. To prevent
 * this, older entries come from the newest complete snapshot of which all following records are retained. Without such
 * a snapshot, the partition counts as complete only from the first record read.
 *
 * @param start oldest offset that the log retains
 * @param records all retained records, in order
 */
export function loadPartition(start: number, records: readonly LoggedIntent[], windowMs: number): IntentPartition {
    const base = newestSnapshot(records, start) ?? emptyPartition(start);
    return foldIntents(base, records, windowMs);
}
