import type { Millis } from "@azureshunt/core";

import type { RequestKind } from "../configuration/RequestKind.js";

/** Objectives that an answer may take before another endpoint is asked; slow but sound ones answer within. */
const PLAIN_OBJECTIVES = 2.5;
const STREAM_OBJECTIVES = 2.2;
/** Part of the time left that one try may use up, so that another one still makes sense. */
const USED_PART = 0.6;

/**
 * Says how long a try may go without the head of its answer before another endpoint is asked.
 *
 * Failure: an endpoint goes dark or a connection falls silent, and nothing shows it. What may be repeated is sent
 * elsewhere while there is time; what may run only once waits to the end, since silence does not say that it did not run.
 */
export function silenceBound(
    kind: RequestKind,
    objectiveMs: Millis,
    startMs: Millis,
    remainingMs: Millis,
    isLastTry: boolean,
): Millis {
    if (isLastTry || kind === "at-most-once" || kind === "stream") {
        return remainingMs;
    }
    const usual = kind === "idempotent" ? PLAIN_OBJECTIVES * objectiveMs : STREAM_OBJECTIVES * objectiveMs + startMs;
    return Math.min(usual, remainingMs * USED_PART);
}
