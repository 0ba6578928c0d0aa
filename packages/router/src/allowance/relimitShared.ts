import type { Tokens } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";

/** Puts a new rate and burst in force; tokens above a smaller burst are gone at once. */
export function relimitShared(allowance: SharedAllowance, ratePerSecond: Tokens, burst: Tokens): SharedAllowance {
    return { ...allowance, ratePerSecond, burst, level: Math.min(burst, allowance.level) };
}
