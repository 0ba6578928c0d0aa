import type { Tokens } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";
import { shortMs } from "./shortMs.js";

/**
 * Spends a request's tokens, if the bucket holds any: a request larger than what is left goes into debt, so that a
 * large request is not starved by small ones. Beyond the overdraft the debt of all VMs is bounded by one request each.
 *
 * @returns undefined where the bucket holds none
 */
export function spendShared(allowance: SharedAllowance, tokens: Tokens): SharedAllowance | undefined {
    return shortMs(allowance) > 0
        ? undefined
        : { ...allowance, level: allowance.level - tokens, ownSpent: allowance.ownSpent + tokens };
}
