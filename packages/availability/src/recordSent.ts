import type { Millis } from "@azureshunt/core";

import { availabilityTiming } from "./availabilityTiming.js";
import type { EndpointAvailability } from "./EndpointAvailability.js";

/** Records that a request is sent to an endpoint; if it has refused the last one, others are preferred for a moment. */
export function recordSent(state: EndpointAvailability, now: Millis): EndpointAvailability {
    return state.refusedInRow === 0
        ? state
        : { ...state, avoidedUntil: Math.max(state.avoidedUntil, now + availabilityTiming.probeGapMs) };
}
