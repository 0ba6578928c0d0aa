import type { Millis } from "@azureshunt/core";

import type { EndpointState } from "./EndpointState.js";

/** Milliseconds to an endpoint and back: the shortest of recent round trips, as longer ones held some waiting. */
export function roundTripOf(state: EndpointState): Millis {
    return state.roundTrips.length === 0 ? 0 : Math.min(...state.roundTrips);
}
