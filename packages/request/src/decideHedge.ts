import type { Millis } from "@azureshunt/core";

import type { HedgeDecision } from "./HedgeDecision.js";
import type { HedgeInput } from "./HedgeInput.js";
import { spendRetry } from "./spendRetry.js";

/** A try counts as slow once it has taken this many times its estimated time to the first token. */
const SLOW_FACTOR = 3;

/** No try counts as slow before this, because an estimate of a few milliseconds is not reliable. */
const MIN_SLOW_MS = 400;

/**
 * Decides whether to begin a second try beside a slow first one. This is done only for a repeatable request, before its
 * first piece has arrived, before its deadline and within the retry budget.
 */
export function decideHedge(input: HedgeInput, now: Millis): HedgeDecision {
    const { request, dispatchedAt, estimatedFirstTokenMs, isHedged, budget } = input;
    if (!request.repeatable || request.next > 0 || isHedged) {
        return { kind: "never" };
    }
    const slowAt = dispatchedAt + Math.max(MIN_SLOW_MS, estimatedFirstTokenMs * SLOW_FACTOR);
    if (slowAt >= request.deadline || now >= request.deadline) {
        return { kind: "never" };
    }
    if (now < slowAt) {
        return { kind: "wait", until: slowAt };
    }
    const remaining = spendRetry(budget);
    return remaining === undefined ? { kind: "never" } : { kind: "hedge", budget: remaining };
}
