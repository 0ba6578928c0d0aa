import type { Millis } from "@azureshunt/core";

import type { BrittleState } from "./BrittleState.js";
import { brittleTiming } from "./brittleTiming.js";

/** Returns whether an endpoint of the service said lately that it is brittle. */
export function isBrittle(state: BrittleState, now: Millis): boolean {
    return now - state.announcedAt < brittleTiming.brittleMs;
}
