import type { LoadState } from "./LoadState.js";

/** Returns the state of a VM that has just started: it refuses nothing. */
export function initialLoad(): LoadState {
    return { peakLagMs: 0, shedFraction: 0, kinds: new Map(), priorities: new Map() };
}
