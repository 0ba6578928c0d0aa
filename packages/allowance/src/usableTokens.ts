import type { Millis, Tokens } from "@azureshunt/core";

import type { HeldGrant } from "./HeldGrant.js";

/** Tokens of a grant that may be spent now: none once it has expired on this VM's clock. */
export function usableTokens(held: HeldGrant, now: Millis): Tokens {
    return held.expiresAt > now ? held.left : 0;
}
