import type { Tokens } from "@azureshunt/core";

import type { Organisation } from "../configuration/Organisation.js";
import type { CallerRequest } from "../ports/CallerRequest.js";

/** Returns what a request takes from its organisation's allowance: what it states, or else the organisation's default. */
export function chargedTokens(
    { statedTokens }: Pick<CallerRequest, "statedTokens">,
    organisation: Organisation | undefined,
): Tokens {
    return organisation?.countsRequests === true ? 1 : statedTokens ?? organisation?.defaultTokens ?? 0;
}
