import { deathsOf } from "./deathsOf.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";
import { SUSPECT_LIMITS } from "./SUSPECT_LIMITS.js";
import type { SuspectState } from "./SuspectState.js";

/**
 * Returns whether a request must not run until the cause of the endpoint deaths during which it ran is known.
 *
 * If a VM is late to report what it ran, the second death does not yet lead to a quarantine, and the request would
 * crash a third endpoint in the meantime. To prevent this, a possible death that has not been checked yet counts like a
 * confirmed one.
 */
export function isWithheld(state: SuspectState, request: RequestFingerprint): boolean {
    const deathIds = deathsOf(state, request).map(death => death.id);
    return new Set([...deathIds, ...state.unjudged.get(request) ?? []]).size >= SUSPECT_LIMITS.withholdAtDeaths;
}
