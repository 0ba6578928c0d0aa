import type { Millis } from "@azureshunt/core";

import type { Degradation } from "./Degradation.js";
import type { DegradationObservation } from "./DegradationObservation.js";
import { degradationTiming } from "./degradationTiming.js";

/**
 * Returns the state of a service after an observation. Load: a quarter of its endpoints become silent, and the load on the
 * others rises by a third at once.
 *
 * While endpoints are or were silent and the queue is long, the service is degraded by one step after another. It
 * recovers by one step each time the queue has been short for a second, so that the returning load does not fill the
 * endpoints again. Without silent endpoints it is not degraded, whatever the queue.
 */
export function stepDegradation(
    state: Degradation,
    { available, queueMs, objectiveMs }: DegradationObservation,
    now: Millis,
): Degradation {
    const { steps, stepMs, recoverMs, longFraction, shortFraction, maxLost } = degradationTiming;
    const lostNow = Math.min(maxLost, 1 - available);
    const lost = state.step === 0 ? lostNow : Math.max(state.lost, lostNow);
    const shortSince = queueMs <= objectiveMs * shortFraction ? state.shortSince ?? now : undefined;
    const isLong = queueMs > objectiveMs * longFraction;
    if (isLong && lost > 0 && state.step < steps && now - state.steppedAt >= stepMs) {
        return { step: state.step + 1, steppedAt: now, lost, shortSince };
    }
    const isRecovered = shortSince !== undefined && now - Math.max(shortSince, state.steppedAt) >= recoverMs;
    return state.step > 0 && isRecovered
        ? { step: state.step - 1, steppedAt: now, lost, shortSince }
        : { ...state, lost, shortSince };
}
