import type { Millis, Tokens } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import { usableTokens } from "./usableTokens.js";

/** Tokens that this VM may spend now without asking anybody. The bucket has to be advanced to now. */
export function availableTokens(allowance: Allowance, now: Millis): Tokens {
    const own = allowance.servesFrom === undefined ? 0 : allowance.bucket?.balance ?? 0;
    return allowance.held.reduce((sum, held) => sum + usableTokens(held, now), own);
}
