import type { Tokens } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";

/** Refunds the tokens of a request that certainly did not run; the other VMs see it as a smaller counter. */
export function refundShared(allowance: SharedAllowance, tokens: Tokens): SharedAllowance {
    return {
        ...allowance,
        level: Math.min(allowance.burst, allowance.level + tokens),
        ownSpent: allowance.ownSpent - tokens,
    };
}
