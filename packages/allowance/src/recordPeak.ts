import type { Millis } from "@azureshunt/core";

import type { Bucket } from "./Bucket.js";
import { levelOf } from "./levelOf.js";
import { slotAt } from "./slotAt.js";
import { timing } from "./timing.js";

const MAX_PEAK_SLOTS = timing.refundMs / timing.slotMs;

/** Records a bucket's current level among its highest levels. */
export function recordPeak(bucket: Bucket, now: Millis): Bucket {
    const slot = slotAt(now);
    const level = levelOf(bucket);
    const last = bucket.peaks.at(-1);
    if (last !== undefined && last.slot === slot && last.level >= level) {
        return bucket;
    }
    const kept = bucket.peaks.filter(peak => peak.level > level && peak.slot >= slot - MAX_PEAK_SLOTS);
    return { ...bucket, peaks: [...kept, { slot, level }] };
}
