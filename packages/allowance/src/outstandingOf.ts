import type { Tokens } from "@azureshunt/core";

import type { Bucket } from "./Bucket.js";

/** Returns the most tokens of a bucket that may still be spent under grants. */
export function outstandingOf(bucket: Bucket): Tokens {
    const expiring = bucket.expiringGrants.reduce((sum, entry) => sum + entry.tokens, 0);
    return [...bucket.holders.values()].reduce((sum, holder) => sum + holder.outstanding, expiring);
}
