import type { Millis } from "@azureshunt/core";

import type { EndpointState } from "./EndpointState.js";

/** Estimates the round-trip time: the shortest recent one, as longer ones include waiting; 0 if there are none. */
export function roundTripOf(state: EndpointState): Millis {
    return state.roundTrips.length === 0 ? 0 : Math.min(...state.roundTrips);
}
