import type { Millis } from "@azureshunt/core";

import type { Bucket } from "./Bucket.js";
import { levelOf } from "./levelOf.js";
import { recordPeak } from "./recordPeak.js";
import { timing } from "./timing.js";

const MS_PER_SECOND = 1_000;

const accrue = (bucket: Bucket, at: Millis): Bucket => {
    const elapsed = Math.max(0, at - bucket.accruedAt);
    const room = Math.max(0, bucket.limits.burst - levelOf(bucket));
    const accrued = Math.min(room, bucket.limits.rate * elapsed / MS_PER_SECOND);
    return recordPeak({ ...bucket, balance: bucket.balance + accrued, accruedAt: Math.max(bucket.accruedAt, at) }, at);
};

const expireGrants = (bucket: Bucket, at: Millis): Bucket => ({
    ...bucket,
    expiringGrants: bucket.expiringGrants.filter(entry => entry.until > at),
    holders: new Map(
        [...bucket.holders]
            .filter(([, holder]) => holder.seenAt + timing.refundMs > at)
            .map(([vm, holder]) => [vm, holder.until > at ? holder : { ...holder, outstanding: 0, lastGrant: 0 }]),
    ),
});

/** Times up to `now` at which grants expire, which makes room for the bucket to accrue tokens, in order. */
const expiryTimes = (bucket: Bucket, now: Millis): readonly Millis[] =>
    [
        ...bucket.expiringGrants.map(entry => entry.until),
        ...[...bucket.holders.values()].filter(holder => holder.outstanding > 0).map(holder => holder.until),
    ]
        .filter(until => until <= now)
        .sort((a, b) => a - b);

/** Advances a bucket to `now`: removes grants that have expired and adds the tokens that have accrued. */
export function advanceBucket(bucket: Bucket, now: Millis): Bucket {
    const expired = expiryTimes(bucket, now).reduce((before, at) => expireGrants(accrue(before, at), at), bucket);
    return accrue(expired, now);
}
