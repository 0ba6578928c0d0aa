import { deathsOf } from "./deathsOf.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectState } from "./SuspectState.js";

/** Returns whether a request may have caused a death, and so must not share an endpoint with another suspect. */
export function isSuspect(state: SuspectState, request: RequestFingerprint): boolean {
    return state.unjudged.has(request) || deathsOf(state, request).length > 0;
}
