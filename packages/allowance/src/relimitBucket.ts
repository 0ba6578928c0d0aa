import type { Millis } from "@azureshunt/core";

import { advanceBucket } from "./advanceBucket.js";
import type { Bucket } from "./Bucket.js";
import type { Limits } from "./Limits.js";
import { outstandingOf } from "./outstandingOf.js";

/**
 * Puts the limits of a new revision in force. What has accrued stays, cut to the new burst; tokens already granted are
 * not called back, and run out within the grant's time.
 */
export function relimitBucket(bucket: Bucket, limits: Limits, now: Millis): Bucket {
    const advanced = advanceBucket(bucket, now);
    const room = Math.max(0, limits.burst - outstandingOf(advanced));
    return { ...advanced, limits, balance: Math.min(advanced.balance, room) };
}
