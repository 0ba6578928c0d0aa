import type { Millis } from "@azureshunt/core";

import { availabilityTiming } from "./availabilityTiming.js";
import type { EndpointAvailability } from "./EndpointAvailability.js";

type RefusedRequest = {
    readonly sentAt: Millis;
    /** Pause that the endpoint has asked for; undefined if it has asked for none. */
    readonly retryAfterMs: Millis | undefined;
};

/**
 * Records that an endpoint has refused a request. An endpoint that refuses has little load, so it would be chosen for the
 * next request.
 *
 * @param random uniformly distributed in [0, 1)
 */
export function recordRefusal(
    state: EndpointAvailability,
    { sentAt, retryAfterMs }: RefusedRequest,
    now: Millis,
    random: number,
): EndpointAvailability {
    const { firstBackoffMs, maxBackoffMs, backoffSpread, maxPauseMs } = availabilityTiming;
    // Requests that were under way at the first refusal are refused as well.
    const isSameRefusal = sentAt < state.refusedAt;
    const refusedInRow = state.refusedInRow + (isSameRefusal ? 0 : 1);
    const backoffMs = Math.min(maxBackoffMs, firstBackoffMs * 2 ** (refusedInRow - 1)) * (1 + backoffSpread * random);
    const pausedUntil = Math.max(state.pausedUntil, now + Math.min(maxPauseMs, retryAfterMs ?? 0));
    const isTold = retryAfterMs !== undefined && pausedUntil > state.toldUntil;
    return {
        ...state,
        refusedInRow,
        refusedAt: now,
        pausedUntil,
        avoidedUntil: Math.max(pausedUntil, isSameRefusal ? state.avoidedUntil : now + backoffMs),
        toldUntil: isTold ? pausedUntil : state.toldUntil,
        toldAt: isTold ? now : state.toldAt,
    };
}
