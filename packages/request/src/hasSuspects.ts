import { suspectedDeaths } from "./suspectedDeaths.js";
import type { SuspectState } from "./SuspectState.js";

/** Whether any request is a suspect; while none is, no request has to be digested to find out. */
export function hasSuspects(state: SuspectState): boolean {
    return state.unjudged.size > 0 || suspectedDeaths(state).length > 0;
}
