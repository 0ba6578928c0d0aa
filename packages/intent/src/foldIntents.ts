import type { IntentEntry } from "./IntentEntry.js";
import type { IntentPartition } from "./IntentPartition.js";
import type { KeyDigest } from "./KeyDigest.js";
import type { LoggedIntent } from "./LoggedIntent.js";

type Entries = Map<KeyDigest, IntentEntry>;

const isExpired = (entry: IntentEntry, now: number, windowMs: number): boolean => entry.at < now - windowMs;

const applyRecord = (entries: Entries, logged: LoggedIntent, windowMs: number): void => {
    const { record, id, at } = logged;
    if (record === undefined || record.type === "snapshot") {
        return;
    }
    const known = entries.get(record.key);
    switch (record.type) {
        case "intent": {
            if (known === undefined || isExpired(known, at, windowMs)) {
                const { organisation, key, fingerprint, vm, incarnation } = record;
                entries.set(key, { intentId: id, organisation, key, fingerprint, vm, incarnation, at });
            }
            return;
        }
        case "withdrawn": {
            if (known?.intentId === record.intentId && known.outcome === undefined) {
                entries.delete(record.key);
            }
            return;
        }
        case "outcome": {
            if (known?.intentId === record.intentId) {
                entries.set(record.key, { ...known, outcome: record.outcome });
            }
            return;
        }
    }
};

/**
 * Folds further records into the state of a partition; records before its next offset are skipped. All VMs fold the
 * same records in the same order, so they agree on the owner of a key: the first intent since the key was last free.
 *
 * If two VMs receive the same request at once, both could run it. To prevent this, only the writer of the first intent
 * may dispatch. Another intent becomes the owner only after the previous owner has recorded that it sent nothing, or
 * after the window. Neither a suspension of the owner nor a lost connection to it frees the key.
 *
 * @param windowMs how long a key is remembered
 */
export function foldIntents(
    partition: IntentPartition,
    records: readonly LoggedIntent[],
    windowMs: number,
): IntentPartition {
    const unread = records.filter(logged => logged.offset >= partition.next);
    const [first] = unread;
    const last = unread.at(-1);
    if (first === undefined || last === undefined) {
        return partition;
    }
    const entries = new Map(partition.entries);
    unread.forEach(logged => applyRecord(entries, logged, windowMs));
    const unexpired = [...entries].filter(([, entry]) => !isExpired(entry, last.at, windowMs));
    return {
        next: last.offset + 1,
        lastAt: last.at,
        completeFrom: Math.min(partition.completeFrom, first.at),
        entries: new Map(unexpired),
    };
}
