import type { Tokens } from "@azureshunt/core";

import { refillWaitMs } from "./refillWaitMs.js";
import type { SharedAllowance } from "./SharedAllowance.js";

/**
 * Spends a request's tokens if the bucket holds any. A request larger than what is left puts the bucket into debt, so
 * that large requests are not starved by small ones. Beyond the overdraft, the debt of all VMs is bounded by one
 * request each.
 *
 * @returns `undefined` if the bucket holds no tokens
 */
export function spendShared(allowance: SharedAllowance, tokens: Tokens): SharedAllowance | undefined {
    return refillWaitMs(allowance) > 0
        ? undefined
        : { ...allowance, level: allowance.level - tokens, ownSpent: allowance.ownSpent + tokens };
}
