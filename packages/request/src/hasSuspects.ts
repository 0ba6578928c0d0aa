import { suspectedDeaths } from "./suspectedDeaths.js";
import type { SuspectState } from "./SuspectState.js";

/** Returns whether any request is a suspect. If not, callers need not compute the fingerprint of a request. */
export function hasSuspects(state: SuspectState): boolean {
    return state.unjudged.size > 0 || suspectedDeaths(state).length > 0;
}
