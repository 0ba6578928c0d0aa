import type { Millis, Tokens } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import { claimedBefore } from "./claimedBefore.js";
import { usableTokens } from "./usableTokens.js";

/** Returns the tokens that this VM may spend now without asking a home. The bucket must be advanced to `now`. */
export function availableTokens(allowance: Allowance, now: Millis): Tokens {
    const { bucket, servesFrom, waiters } = allowance;
    const since = waiters[0]?.since ?? now;
    const own = servesFrom === undefined || bucket === undefined
        ? 0
        : Math.max(0, bucket.balance - claimedBefore(bucket, since, undefined, now));
    return allowance.held.reduce((sum, held) => sum + usableTokens(held, now), own);
}
