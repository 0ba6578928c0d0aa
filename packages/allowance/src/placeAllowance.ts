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
    return { ...before, limits, homes, servesFrom, bucket };
}
