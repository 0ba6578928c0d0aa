import type { RecordId } from "@azureshunt/core";

import type { IntentPartition } from "./IntentPartition.js";
import type { KeyDigest } from "./KeyDigest.js";
import type { KeyStatus } from "./KeyStatus.js";

/** A request whose key is looked up. */
type KeyQuery = {
    readonly key: KeyDigest;
    readonly fingerprint: string;
    /** The request's own intent, once it has been read back from the log. */
    readonly intentId: RecordId | undefined;
};

/**
 * Returns the status of a request's key.
 *
 * @param partition must be read at least up to the request's own intent, if it has one
 * @param windowMs how long a key is remembered
 */
export function keyStatusOf(partition: IntentPartition, query: KeyQuery, windowMs: number): KeyStatus {
    const entry = partition.entries.get(query.key);
    if (entry === undefined) {
        return { kind: "free" };
    }
    if (entry.intentId === query.intentId) {
        const isWindowComplete = partition.completeFrom <= entry.at - windowMs || partition.completeFrom === 0;
        return { kind: isWindowComplete ? "owner" : "window-lost" };
    }
    if (entry.fingerprint !== query.fingerprint) {
        return { kind: "reused" };
    }
    return entry.outcome === undefined ? { kind: "taken", entry } : { kind: "ended", outcome: entry.outcome };
}
