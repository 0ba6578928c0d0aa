import { deathsOf } from "./deathsOf.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";
import { SUSPECT_LIMITS } from "./SUSPECT_LIMITS.js";
import type { SuspectState } from "./SuspectState.js";

/**
 * Whether a request is not to be run until the deaths that it was present at are judged.
 *
 * Failure guarded against: a VM answers late what it ran, so the second death decides nothing, and the request crashes a
 * third endpoint meanwhile. A death that is not judged yet counts like one that is.
 */
export function isHeld(state: SuspectState, request: RequestFingerprint): boolean {
    const noted = deathsOf(state, request).map(death => death.id);
    return new Set([...noted, ...state.unjudged.get(request) ?? []]).size >= SUSPECT_LIMITS.endpoints;
}
