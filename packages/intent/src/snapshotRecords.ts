import type { RecordId } from "@azureshunt/core";

import { INTENT_LIMITS } from "./INTENT_LIMITS.js";
import type { IntentPartition } from "./IntentPartition.js";
import type { IntentRecord } from "./IntentRecord.js";

/**
 * Writes what is known of a partition as records that carry it past the log's retention.
 *
 * @param snapshotId id that the parts share
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
        vouchedFrom: partition.vouchedFrom,
        entries: entries.slice(part * size, (part + 1) * size),
    }));
}
