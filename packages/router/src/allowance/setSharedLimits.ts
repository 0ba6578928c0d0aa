import type { Tokens } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";

/** Applies a new rate and burst; tokens above a smaller burst are dropped at once. */
export function setSharedLimits(allowance: SharedAllowance, ratePerSecond: Tokens, burst: Tokens): SharedAllowance {
    return { ...allowance, ratePerSecond, burst, level: Math.min(burst, allowance.level) };
}
