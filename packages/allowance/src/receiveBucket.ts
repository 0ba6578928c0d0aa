import type { Millis } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { HandedBucket } from "./HandedBucket.js";
import { openBucket } from "./openBucket.js";
import { outstandingOf } from "./outstandingOf.js";
import { timing } from "./timing.js";

/**
 * Takes over a former home's bucket: its balance, cut to the limits here, and its grants as tokens that lapse. Grants of
 * a former home cannot be handed back here, so no room is accrued for them until they have run out. Where a bucket is
 * left here from an earlier time as home, or the message is a repetition, the lower balance stands.
 */
export function receiveBucket(before: Allowance, handed: HandedBucket, now: Millis): Allowance {
    const share = before.homes.find(home => home.vm === before.vm)?.limits;
    if (share === undefined) {
        return before;
    }
    const until = now + handed.lapsesIn * (timing.keepMs / timing.grantMs);
    const lapsing = handed.outstanding > 0 ? [{ tokens: handed.outstanding, until }] : [];
    const kept = before.bucket ?? { ...openBucket(share, now, now), balance: share.burst };
    const bucket = { ...kept, lapsing: [...kept.lapsing, ...lapsing] };
    const room = Math.max(0, share.burst - outstandingOf(bucket));
    return { ...before, bucket: { ...bucket, balance: Math.min(kept.balance, handed.balance, room) } };
}
