import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectedDeath } from "./SuspectedDeath.js";
import type { SuspectState } from "./SuspectState.js";

/** The unexplained deaths that a request was present at. */
export function deathsOf(state: SuspectState, request: RequestFingerprint): readonly SuspectedDeath[] {
    return state.deaths.filter(death => death.running.includes(request));
}
