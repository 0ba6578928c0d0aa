import type { Millis } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import type { AllowanceEvent } from "./AllowanceEvent.js";
import { relimitBucket } from "./relimitBucket.js";

type Placed = Extract<AllowanceEvent, { readonly kind: "placed"; }>;

/** Puts new homes and limits in force. A VM that may serve no longer keeps its bucket only to hand it over. */
export function placeAllowance(before: Allowance, placed: Placed, now: Millis): Allowance {
    const { limits, homes, servesFrom } = placed;
    const share = homes.find(home => home.vm === before.vm)?.limits;
    const bucket = before.bucket === undefined || share === undefined
        ? before.bucket
        : relimitBucket(before.bucket, share, now);
    const known = new Set(before.homes.map(home => home.vm));
    const moved = homes.some(home => !known.has(home.vm));
    // A home that declined before the members changed may serve by now.
    const held = moved
        ? before.held.map(entry => ({ ...entry, failedAt: undefined, decliningSince: undefined }))
        : before.held;
    const barredSince = share === undefined || servesFrom !== undefined ? undefined : before.barredSince ?? now;
    return { ...before, limits, homes, servesFrom, barredSince, bucket, held };
}
