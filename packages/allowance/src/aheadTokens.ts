import type { Millis, Tokens } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import { demandAt } from "./demandAt.js";
import { timing } from "./timing.js";

const MS_PER_SECOND = 1_000;

/**
 * Tokens to hold ahead of need: what this VM spends within `aheadMs` plus the time that its slowest home takes to
 * answer.
 */
export function aheadTokens(allowance: Allowance, now: Millis): Tokens {
    const slowestMs = Math.max(0, ...allowance.held.map(held => held.answerMs));
    return demandAt(allowance, now) * (timing.aheadMs + slowestMs) / MS_PER_SECOND;
}
