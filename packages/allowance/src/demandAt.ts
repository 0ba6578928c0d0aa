import type { Millis, Tokens } from "@azureshunt/core";

import type { Allowance } from "./Allowance.js";

const WINDOW_MS = 1_000;

/** Tokens a second spent on this VM lately: an average that forgets with a time constant of a second. */
export function demandAt(allowance: Allowance, now: Millis): Tokens {
    return allowance.demand * Math.exp(-(now - allowance.spentAt) / WINDOW_MS);
}
