import type { RecordId } from "@azureshunt/core";

import { INTENT_LIMITS } from "./INTENT_LIMITS.js";
import type { IntentPartition } from "./IntentPartition.js";
import type { IntentRecord } from "./IntentRecord.js";

/**
 * Builds the snapshot records of a partition, which preserve its entries beyond the log's retention.
 *
 * @param snapshotId id shared by all parts of the snapshot
 */
export function snapshotRecords(partition: IntentPartition, snapshotId: RecordId): readonly IntentRecord[] {
    const entries = [...partition.entries.values()];
    const size = INTENT_LIMITS.snapshotEntries;
    const parts = Math.max(1, Math.ceil(entries.length / size));
    return Array.from({ length: parts }, (_, part) => ({
        type: "snapshot" as const,
        snapshotId,
        part,
        parts,
        upTo: partition.next,
        vouchedFrom: partition.completeFrom,
        entries: entries.slice(part * size, (part + 1) * size),
    }));
}
