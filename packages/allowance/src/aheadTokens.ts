import type { Millis, Tokens } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";
import { demandAt } from "./demandAt.js";
import { timing } from "./timing.js";

const MS_PER_SECOND = 1_000;

/** Tokens to be held ahead of need: what is spent here while homes that are busy take their time to answer. */
export function aheadTokens(allowance: Allowance, now: Millis): Tokens {
    const slowestMs = Math.max(0, ...allowance.held.map(held => held.answerMs));
    return demandAt(allowance, now) * (timing.aheadMs + slowestMs) / MS_PER_SECOND;
}
