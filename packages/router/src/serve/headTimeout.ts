import type { Millis } from "@azureshunt/core";

import type { RequestKind } from "../configuration/RequestKind.js";

/**
 * Multiples of the objective that an answer may take before another endpoint is tried; slow but healthy ones answer
 * within them.
 */
const IDEMPOTENT_OBJECTIVES = 2.5;
const STREAM_OBJECTIVES = 2.2;
/** Fraction of the time left that one try may use up, so that a retry still makes sense. */
const MAX_USED_FRACTION = 0.6;

/**
 * Returns how long a try may wait for the head of its answer before another endpoint is tried.
 *
 * If an endpoint stops responding or a connection is lost, silence is the only symptom. A request that may be repeated
 * is sent to another endpoint while there is time. One that may run only once waits until its deadline, since silence
 * does not show that it has not run.
 */
export function headTimeout(
    kind: RequestKind,
    objectiveMs: Millis,
    startMs: Millis,
    remainingMs: Millis,
    isLastTry: boolean,
): Millis {
    if (isLastTry || kind === "at-most-once" || kind === "stream") {
        return remainingMs;
    }
    const usual = kind === "idempotent"
        ? IDEMPOTENT_OBJECTIVES * objectiveMs
        : STREAM_OBJECTIVES * objectiveMs + startMs;
    return Math.min(usual, remainingMs * MAX_USED_FRACTION);
}
