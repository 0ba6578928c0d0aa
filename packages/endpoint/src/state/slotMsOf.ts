import type { Millis } from "@azureshunt/core";

import type { EndpointState } from "./EndpointState.js";
import { median } from "./median.js";

/** Duration of a request until one has completed. */
const DEFAULT_DURATION_MS = 1_000;

/** Estimates the time until a full endpoint has a free slot: the median duration divided by the number of slots. */
export function slotMsOf(state: EndpointState): Millis {
    return (median(state.durations) ?? DEFAULT_DURATION_MS) / Math.max(1, state.maxRunning);
}
