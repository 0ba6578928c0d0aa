import type { Millis, Tokens, VmId } from "@azureshunt/core";

import type { Bucket } from "./Bucket.js";
import { timing } from "./timing.js";

/**
 * Returns the tokens of a bucket that are claimed by requests waiting at other VMs, which arrived before a given time.
 *
 * If few tokens are left and each of several waiting requests gets a part, none gets enough, and all are refused
 * although the tokens would have served them one after another. To prevent this, every home serves the oldest request
 * first.
 *
 * @param since when the request to be served arrived
 * @param excluded VM whose own requests do not count
 */
export function claimedBefore(bucket: Bucket, since: Millis, excluded: VmId | undefined, now: Millis): Tokens {
    return [...bucket.holders]
        .filter(([vm, holder]) =>
            vm !== excluded && holder.seenAt + timing.freshMs > now && holder.waitingSince < since
        )
        .reduce((sum, [, holder]) => sum + holder.unmet, 0);
}
