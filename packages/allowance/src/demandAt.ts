import type { Millis, Tokens } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";

const TIME_CONSTANT_MS = 1_000;

/**
 * Returns the tokens per second spent on this VM recently: an exponential average with a time constant of one second.
 */
export function demandAt(allowance: Allowance, now: Millis): Tokens {
    return allowance.demand * Math.exp(-(now - allowance.spentAt) / TIME_CONSTANT_MS);
}
