import type { Millis } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";

const MS_PER_SECOND = 1_000;

/**
 * Returns the time until an allowance holds one token again if nobody spends and it is refilled at the whole rate; 0 if
 * it holds any now.
 */
export function refillWaitMs({ level, overdraft, ratePerSecond }: SharedAllowance): Millis {
    const left = level + overdraft;
    return left > 0 ? 0 : MS_PER_SECOND * (1 - left) / ratePerSecond;
}
