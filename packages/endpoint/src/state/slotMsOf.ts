import type { Millis } from "@azureshunt/core";

import type { EndpointState } from "./EndpointState.js";
import { median } from "./median.js";

/** Duration of a request before any was seen to end. */
const FIRST_GUESS_MS = 1_000;

/** Milliseconds until a full endpoint has a free slot: a request's usual duration over the number of slots. */
export function slotMsOf(state: EndpointState): Millis {
    return (median(state.durations) ?? FIRST_GUESS_MS) / Math.max(1, state.maxRunning);
}
