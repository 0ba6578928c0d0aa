import type { SuspectedDeath } from "./SuspectedDeath.js";
import type { SuspectState } from "./SuspectState.js";

/** Returns the unexplained deaths that still have a suspect. */
export function suspectedDeaths(state: SuspectState): readonly SuspectedDeath[] {
    return state.deaths.filter(({ running }) => running.length > 0);
}
