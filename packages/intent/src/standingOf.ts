import type { RecordId } from "@azureshunt/core";

import type { IntentPartition } from "./IntentPartition.js";
import type { IntentStanding } from "./IntentStanding.js";
import type { KeyDigest } from "./KeyDigest.js";

/** A request that asks for its key. */
type KeyQuestion = {
    readonly key: KeyDigest;
    readonly fingerprint: string;
    /** Its own intent, once that has been read back. */
    readonly intentId: RecordId | undefined;
};

/**
 * Decides how a request stands towards its key.
 *
 * @param partition read up to the request's intent at least, where it has one
 * @param windowMs how long a key is remembered
 */
export function standingOf(partition: IntentPartition, question: KeyQuestion, windowMs: number): IntentStanding {
    const entry = partition.entries.get(question.key);
    if (entry === undefined) {
        return { kind: "free" };
    }
    if (entry.intentId === question.intentId) {
        const isVouched = partition.vouchedFrom <= entry.at - windowMs || partition.vouchedFrom === 0;
        return { kind: isVouched ? "owner" : "window-lost" };
    }
    if (entry.fingerprint !== question.fingerprint) {
        return { kind: "reused" };
    }
    return entry.outcome === undefined ? { kind: "taken", entry } : { kind: "ended", outcome: entry.outcome };
}
