import type { Millis } from "@azureshunt/core";

import type { SharedAllowance } from "./SharedAllowance.js";

const MS_PER_SECOND = 1_000;

/** Until an allowance holds tokens again, if nobody spends; 0 where it does. */
export function shortMs({ level, overdraft, ratePerSecond }: SharedAllowance): Millis {
    const left = level + overdraft;
    return left > 0 ? 0 : MS_PER_SECOND * (1 - left) / ratePerSecond;
}
