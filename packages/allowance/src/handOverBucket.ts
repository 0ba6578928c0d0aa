import type { Millis, Step, VmId } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { AllowanceEffect } from "./AllowanceEffect.js";
import { outstandingOf } from "./outstandingOf.js";

/**
 * Hands the bucket over to a new home. It is removed here before the message is sent: if the message is lost, its
 * tokens are lost too, and the new home starts with an empty bucket.
 */
export function handOverBucket(before: Allowance, to: VmId | undefined, now: Millis): Step<Allowance, AllowanceEffect> {
    const { bucket } = before;
    const state: Allowance = { ...before, bucket: undefined, servesFrom: undefined };
    if (bucket === undefined || to === undefined) {
        return { state, effects: [] };
    }
    const expiryTimes = [
        ...bucket.expiringGrants.map(entry => entry.until),
        ...[...bucket.holders.values()].map(holder => holder.until),
    ];
    const lapsesIn = Math.max(0, ...expiryTimes.map(until => until - now));
    const handed = { balance: bucket.balance, outstanding: outstandingOf(bucket), lapsesIn };
    return { state, effects: [{ kind: "hand-over", to, bucket: handed }] };
}
