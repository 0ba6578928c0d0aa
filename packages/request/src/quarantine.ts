import type { Millis } from "@azureshunt/core";

import type { RequestFingerprint } from "./RequestFingerprint.js";
import { SUSPECT_LIMITS } from "./SUSPECT_LIMITS.js";
import type { SuspectState } from "./SuspectState.js";

/**
 * Marks a request as one that crashes endpoints, found here or told by another VM. The deaths that it was present at are
 * explained by it, so that the others present at them are suspects no longer.
 */
export function quarantine(state: SuspectState, request: RequestFingerprint, until: Millis): SuspectState {
    const known = state.quarantined.get(request) ?? until;
    const entries = [
        ...[...state.quarantined].filter(([other]) => other !== request),
        [request, Math.max(known, until)] as const,
    ];
    const kept = entries.sort((a, b) => b[1] - a[1]).slice(0, SUSPECT_LIMITS.quarantined);
    return {
        ...state,
        deaths: state.deaths.filter(death => !death.running.includes(request)),
        quarantined: new Map(kept),
    };
}
