import type { Tokens } from "@azureshunt/core";

import type { Bucket } from "./Bucket.js";

/** Tokens of a bucket that may still be spent under grants, at most. */
export function outstandingOf(bucket: Bucket): Tokens {
    const lapsing = bucket.lapsing.reduce((sum, entry) => sum + entry.tokens, 0);
    return [...bucket.takers.values()].reduce((sum, taker) => sum + taker.outstanding, lapsing);
}
