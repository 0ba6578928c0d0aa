import type { Millis, Tokens } from "@azureshunt/core";

import type { HeldGrant } from "./HeldGrant.js";

/** Returns the tokens of a grant that may be spent now: 0 once it has expired by this VM's clock. */
export function usableTokens(held: HeldGrant, now: Millis): Tokens {
    return held.expiresAt > now ? held.left : 0;
}
