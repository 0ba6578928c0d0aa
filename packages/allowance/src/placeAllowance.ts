import type { Millis } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { AllowanceEvent } from "./AllowanceEvent.js";
import { applyBucketLimits } from "./applyBucketLimits.js";

type Placed = Extract<AllowanceEvent, { readonly kind: "placed"; }>;

/** Applies new homes and limits. A VM that may no longer serve keeps its bucket only to hand it over. */
export function placeAllowance(before: Allowance, placed: Placed, now: Millis): Allowance {
    const { limits, homes, servesFrom } = placed;
    const share = homes.find(home => home.vm === before.vm)?.limits;
    const bucket = before.bucket === undefined || share === undefined
        ? before.bucket
        : applyBucketLimits(before.bucket, share, now);
    const known = new Set(before.homes.map(home => home.vm));
    const hasNewHome = homes.some(home => !known.has(home.vm));
    // A home that failed or declined before the homes changed may serve by now.
    const held = hasNewHome
        ? before.held.map(entry => ({ ...entry, failedAt: undefined, decliningSince: undefined }))
        : before.held;
    const barredSince = share === undefined || servesFrom !== undefined ? undefined : before.barredSince ?? now;
    return { ...before, limits, homes, servesFrom, barredSince, bucket, held };
}
