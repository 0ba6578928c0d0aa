import type { Millis } from "@azureshunt/core";

import { advanceBucket } from "./advanceBucket.js";
import type { Bucket } from "./Bucket.js";
import type { Limits } from "./Limits.js";
import { outstandingOf } from "./outstandingOf.js";

/**
 * Applies the limits of a new revision. Accrued tokens stay, capped by the new burst; tokens already granted are not
 * recalled and expire with their grant.
 */
export function applyBucketLimits(bucket: Bucket, limits: Limits, now: Millis): Bucket {
    const advanced = advanceBucket(bucket, now);
    const room = Math.max(0, limits.burst - outstandingOf(advanced));
    return { ...advanced, limits, balance: Math.min(advanced.balance, room) };
}
