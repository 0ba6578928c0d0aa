import type { Tokens } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";

const MS_PER_SECOND = 1_000;

/** What becomes of a request's tokens. */
type Spending =
    | { readonly kind: "spent"; readonly allowance: SharedAllowance; }
    /** `waitMs`: after which the tokens are there, if nobody else spends. */
    | { readonly kind: "short"; readonly waitMs: number; };

/**
 * Spends a request's tokens, if the bucket holds any: a request larger than what is left goes into debt, so that a
 * large request is not starved by small ones. Beyond the overdraft the debt of all VMs is bounded by one request each.
 */
export function spendShared(allowance: SharedAllowance, tokens: Tokens): Spending {
    const left = allowance.level + allowance.overdraft;
    if (left <= 0) {
        return { kind: "short", waitMs: MS_PER_SECOND * (1 - left) / allowance.ratePerSecond };
    }
    return {
        kind: "spent",
        allowance: { ...allowance, level: allowance.level - tokens, ownSpent: allowance.ownSpent + tokens },
    };
}
