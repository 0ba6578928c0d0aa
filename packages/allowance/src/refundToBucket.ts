import type { Millis, Tokens } from "@azureshunt/core";

import type { Bucket } from "./Bucket.js";
import { slotAt } from "./slotAt.js";
import { timing } from "./timing.js";

/**
 * Refunds tokens that were charged and not used.
 *
 * If a charge empties the bucket, the bucket fills up again while the request runs, and the full bucket is spent, then
 * a refund could be spent on top: more than the burst within an instant. To prevent this, a refund is capped by the
 * room that the bucket had at every time since the charge. The result then equals a history in which only the tokens
 * used were charged, and that history keeps to the limits, since the bucket would not have overflowed.
 *
 * @param bucket the bucket, advanced to `now`
 * @param slot slot at or before the charge
 * @param tokens tokens charged and not used
 */
export function refundToBucket(bucket: Bucket, slot: number, tokens: Tokens, now: Millis): Bucket {
    const oldest = Math.max(slotAt(bucket.openedAt) + 1, slotAt(now - timing.refundMs));
    if (slot < oldest || tokens <= 0) {
        return bucket;
    }
    const peak = bucket.peaks
        .filter(entry => entry.slot >= slot)
        .reduce((highest, entry) => Math.max(highest, entry.level), 0);
    const credit = Math.min(tokens, Math.max(0, bucket.limits.burst - peak));
    const peaks = bucket.peaks.map(entry => entry.slot >= slot ? { ...entry, level: entry.level + credit } : entry);
    return { ...bucket, balance: bucket.balance + credit, peaks };
}
