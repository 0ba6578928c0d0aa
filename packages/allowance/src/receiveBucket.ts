import type { Millis } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { HandedBucket } from "./HandedBucket.js";
import { openBucket } from "./openBucket.js";
import { outstandingOf } from "./outstandingOf.js";
import { timing } from "./timing.js";

/**
 * Takes over a former home's bucket: its balance, capped by the limits here, and its grants as tokens that expire.
 * Grants of a former home cannot be handed back here, so nothing accrues in their place until they have expired. If
 * this VM still has a bucket from an earlier time as home, or the message is repeated, the lower balance is used.
 */
export function receiveBucket(before: Allowance, handed: HandedBucket, now: Millis): Allowance {
    const share = before.homes.find(home => home.vm === before.vm)?.limits;
    if (share === undefined) {
        return before;
    }
    const until = now + handed.lapsesIn * (timing.keepMs / timing.grantMs);
    const handedGrants = handed.outstanding > 0 ? [{ tokens: handed.outstanding, until }] : [];
    const current = before.bucket ?? { ...openBucket(share, now, now), balance: share.burst };
    const bucket = { ...current, expiringGrants: [...current.expiringGrants, ...handedGrants] };
    const room = Math.max(0, share.burst - outstandingOf(bucket));
    return { ...before, bucket: { ...bucket, balance: Math.min(current.balance, handed.balance, room) } };
}
