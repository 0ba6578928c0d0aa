import type { Millis, Step, VmId } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { AllowanceEffect } from "./AllowanceEffect.js";
import { outstandingOf } from "./outstandingOf.js";

/**
 * Hands the bucket over to a new home. It is gone here before the message leaves: a lost message loses its tokens, and
 * the new home then starts empty.
 */
export function handOverBucket(before: Allowance, to: VmId | undefined, now: Millis): Step<Allowance, AllowanceEffect> {
    const { bucket } = before;
    const state: Allowance = { ...before, bucket: undefined, servesFrom: undefined };
    if (bucket === undefined || to === undefined) {
        return { state, effects: [] };
    }
    const ends = [
        ...bucket.lapsing.map(entry => entry.until),
        ...[...bucket.takers.values()].map(taker => taker.until),
    ];
    const lapsesIn = Math.max(0, ...ends.map(until => until - now));
    const handed = { balance: bucket.balance, outstanding: outstandingOf(bucket), lapsesIn };
    return { state, effects: [{ kind: "hand-over", to, bucket: handed }] };
}
