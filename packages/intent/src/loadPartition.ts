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
    const isWhole = ({ snapshotId, parts: count }: SnapshotPart): boolean =>
        new Set(parts.filter(part => part.snapshotId === snapshotId).map(part => part.part)).size === count;
    const newest = parts
        .filter(part => part.upTo >= start && isWhole(part))
        .sort((a, b) => b.upTo - a.upTo)
        .at(0);
    if (newest === undefined) {
        return undefined;
    }
    const entries = parts.filter(part => part.snapshotId === newest.snapshotId).flatMap(part => part.entries);
    return {
        next: newest.upTo,
        lastAt: 0,
        vouchedFrom: newest.vouchedFrom,
        entries: new Map(entries.map(entry => [entry.key, entry])),
    };
};

/**
 * Builds a partition from all records that the log still keeps.
 *
 * Failure guarded against: the log has dropped the intent of a key that was used within the window, and the request runs
 * again. Entries older than the log's start come from the newest snapshot whose following records are all still kept; a
 * partition without one vouches only for what it has read itself.
 *
 * @param start oldest offset that the log keeps
 * @param records all kept records, in order
 */
export function loadPartition(start: number, records: readonly LoggedIntent[], windowMs: number): IntentPartition {
    const base = newestSnapshot(records, start) ?? emptyPartition(start);
    return foldIntents(base, records, windowMs);
}
