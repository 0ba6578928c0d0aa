import type { Millis, Tokens, VmId } from "@azureshunt/core";

import type { Bucket } from "./Bucket.js";
import { timing } from "./timing.js";

/**
 * Tokens of a bucket that requests waiting at other VMs have a better claim to, as they came before a given moment.
 *
 * Failure guarded against: with little left, each of several waiting requests gets a part, none gets enough, and all are
 * refused beside tokens that would have served them one after another. So the oldest is served first, at every home.
 *
 * @param since when the request in question came
 * @param but VM whose own requests do not count
 */
export function claimedBefore(bucket: Bucket, since: Millis, but: VmId | undefined, now: Millis): Tokens {
    return [...bucket.takers]
        .filter(([vm, taker]) => vm !== but && taker.seenAt + timing.freshMs > now && taker.waitingSince < since)
        .reduce((sum, [, taker]) => sum + taker.unmet, 0);
}
