import type { IntentEntry } from "./IntentEntry.js";
import type { IntentPartition } from "./IntentPartition.js";
import type { KeyDigest } from "./KeyDigest.js";
import type { LoggedIntent } from "./LoggedIntent.js";

type Entries = Map<KeyDigest, IntentEntry>;

const isExpired = (entry: IntentEntry, now: number, windowMs: number): boolean => entry.at < now - windowMs;

const foldOne = (entries: Entries, logged: LoggedIntent, windowMs: number): void => {
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
 * Folds records that follow on what is known. All VMs fold the same records in the same order, so all agree on the owner
 * of a key: the first intent since the key was last free.
 *
 * Failure guarded against: two VMs get the same request at once and both run it. Only the writer of the first intent
 * may dispatch; another becomes the owner only after the former owner's own record that it has sent nothing, or after
 * the window. Neither a pause nor a cut of the owner frees the key.
 *
 * @param windowMs how long a key is remembered
 */
export function foldIntents(
    partition: IntentPartition,
    records: readonly LoggedIntent[],
    windowMs: number,
): IntentPartition {
    const fresh = records.filter(logged => logged.offset >= partition.next);
    const [first] = fresh;
    const last = fresh.at(-1);
    if (first === undefined || last === undefined) {
        return partition;
    }
    const entries = new Map(partition.entries);
    fresh.forEach(logged => foldOne(entries, logged, windowMs));
    const live = [...entries].filter(([, entry]) => !isExpired(entry, last.at, windowMs));
    return {
        next: last.offset + 1,
        lastAt: last.at,
        vouchedFrom: Math.min(partition.vouchedFrom, first.at),
        entries: new Map(live),
    };
}
