import type { Millis } from "@azureshunt/core";

import type { EndpointAvailability } from "./EndpointAvailability.js";

/**
 * Records that an endpoint has said that it leaves. That holds for the rest of its incarnation: an answer that does not
 * say so was under way before.
 */
export function recordLeaving(state: EndpointAvailability, since: Millis): EndpointAvailability {
    return state.leavingSince === undefined ? { ...state, leavingSince: since } : state;
}
