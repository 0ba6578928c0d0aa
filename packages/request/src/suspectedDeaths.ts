import type { SuspectedDeath } from "./SuspectedDeath.js";
import type { SuspectState } from "./SuspectState.js";

/** The deaths that some request is still suspected of. */
export function suspectedDeaths(state: SuspectState): readonly SuspectedDeath[] {
    return state.deaths.filter(({ running }) => running.length > 0);
}
