import type { Millis } from "@azureshunt/core";

import type { LoadState } from "./LoadState.js";

/** Returns the state of a VM that has just started: it has no lag and refuses nothing. */
export function initialLoad(now: Millis): LoadState {
    return {
        tickAt: now,
        previousTickAt: now,
        lagMs: 0,
        peakLagMs: 0,
        shedFraction: 0,
        kinds: new Map(),
        priorities: new Map(),
    };
}
