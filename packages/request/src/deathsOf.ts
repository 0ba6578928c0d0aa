import type { EndpointDeath } from "./EndpointDeath.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectState } from "./SuspectState.js";

/** The unexplained deaths that a request was present at. */
export function deathsOf(state: SuspectState, request: RequestFingerprint): readonly EndpointDeath[] {
    return state.deaths.filter(death => death.running.includes(request));
}
