import type { Millis } from "@azureshunt/core";

import type { Bucket } from "./Bucket.js";
import type { Limits } from "./Limits.js";

const MS_PER_SECOND = 1_000;

/**
 * Opens the bucket of an organisation that has none here.
 *
 * @param limits the failure domain's share
 * @param emptyFrom time at which the bucket counts as empty: it holds what has accrued since. A bucket that is full and
 * has no grants may be closed, as opening it again gives the same bucket
 */
export function openBucket(limits: Limits, emptyFrom: Millis, now: Millis): Bucket {
    const accrued = limits.rate * Math.max(0, now - emptyFrom) / MS_PER_SECOND;
    return {
        limits,
        balance: Math.min(limits.burst, accrued),
        accruedAt: Math.max(now, emptyFrom),
        openedAt: now,
        holders: new Map(),
        expiringGrants: [],
        peaks: [],
    };
}
