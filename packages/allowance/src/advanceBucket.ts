import type { Millis } from "@azureshunt/core";

import type { Bucket } from "./Bucket.js";
import { levelOf } from "./levelOf.js";
import { notePeak } from "./notePeak.js";
import { timing } from "./timing.js";

const MS_PER_SECOND = 1_000;

const accrue = (bucket: Bucket, at: Millis): Bucket => {
    const elapsed = Math.max(0, at - bucket.accruedAt);
    const room = Math.max(0, bucket.limits.burst - levelOf(bucket));
    const accrued = Math.min(room, bucket.limits.rate * elapsed / MS_PER_SECOND);
    return notePeak({ ...bucket, balance: bucket.balance + accrued, accruedAt: Math.max(bucket.accruedAt, at) }, at);
};

const lapse = (bucket: Bucket, at: Millis): Bucket => ({
    ...bucket,
    lapsing: bucket.lapsing.filter(entry => entry.until > at),
    takers: new Map(
        [...bucket.takers]
            .filter(([, taker]) => taker.seenAt + timing.refundMs > at)
            .map(([vm, taker]) => [vm, taker.until > at ? taker : { ...taker, outstanding: 0, lastGrant: 0 }]),
    ),
});

/** Moments up to `now` at which grants run out, and the bucket gets room to accrue. */
const expiries = (bucket: Bucket, now: Millis): readonly Millis[] =>
    [
        ...bucket.lapsing.map(entry => entry.until),
        ...[...bucket.takers.values()].filter(taker => taker.outstanding > 0).map(taker => taker.until),
    ]
        .filter(until => until <= now)
        .sort((a, b) => a - b);

/** Brings a bucket to a moment: grants that ran out by then are forgotten, and what has accrued is added. */
export function advanceBucket(bucket: Bucket, now: Millis): Bucket {
    const lapsed = expiries(bucket, now).reduce((before, at) => lapse(accrue(before, at), at), bucket);
    return accrue(lapsed, now);
}
