import type { Tokens } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";

/** Gives back the tokens of a request that surely did not run; the other VMs learn it by the smaller count. */
export function refundShared(allowance: SharedAllowance, tokens: Tokens): SharedAllowance {
    return {
        ...allowance,
        level: Math.min(allowance.burst, allowance.level + tokens),
        ownSpent: allowance.ownSpent - tokens,
    };
}
