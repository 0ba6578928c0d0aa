import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectedDeath } from "./SuspectedDeath.js";
import type { SuspectState } from "./SuspectState.js";

/** Returns the unexplained deaths of endpoints that were running a request, oldest first. */
export function deathsOf(state: SuspectState, request: RequestFingerprint): readonly SuspectedDeath[] {
    return state.deaths.filter(death => death.running.includes(request));
}
