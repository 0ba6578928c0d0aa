import type { Millis } from "@azureshunt/core";

import type { HedgeDecision } from "./HedgeDecision.js";
import type { HedgeQuestion } from "./HedgeQuestion.js";
import { spendRetry } from "./spendRetry.js";

/** A try counts as slow after this many times its estimate. */
const SLOW_FACTOR = 3;

/** No try counts as slow before, as an estimate of a few milliseconds says little. */
const MIN_WAIT_MS = 400;

/**
 * Decides whether a second try is begun beside a slow first one: only for what may be repeated, before the first piece,
 * before the deadline and within the retry budget.
 */
export function decideHedge(question: HedgeQuestion, now: Millis): HedgeDecision {
    const { request, dispatchedAt, estimate, hedged, budget } = question;
    if (!request.repeatable || request.next > 0 || hedged) {
        return { kind: "never" };
    }
    const slowAt = dispatchedAt + Math.max(MIN_WAIT_MS, estimate * SLOW_FACTOR);
    if (slowAt >= request.deadline || now >= request.deadline) {
        return { kind: "never" };
    }
    if (now < slowAt) {
        return { kind: "wait", until: slowAt };
    }
    const left = spendRetry(budget);
    return left === undefined ? { kind: "never" } : { kind: "hedge", budget: left };
}
