import type { Millis } from "@azureshunt/core";

import type { EndpointAvailability } from "./EndpointAvailability.js";

/**
 * Records that an endpoint has served a request, which ends the time in which others are preferred. It does not end a
 * pause that the endpoint has asked for.
 *
 * @param sentAt when the request was sent; one that was sent before the last refusal shows nothing
 */
export function recordServed(state: EndpointAvailability, sentAt: Millis): EndpointAvailability {
    const isOlder = state.refusedAt > sentAt || (state.refusedInRow === 0 && state.toldAt > sentAt);
    return isOlder || state.avoidedUntil === -Infinity
        ? state
        : { ...state, refusedInRow: 0, avoidedUntil: -Infinity };
}
