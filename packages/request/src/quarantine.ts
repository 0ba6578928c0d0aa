import type { Millis } from "@azureshunt/core";

import type { RequestFingerprint } from "./RequestFingerprint.js";
import { SUSPECT_LIMITS } from "./SUSPECT_LIMITS.js";
import type { SuspectState } from "./SuspectState.js";

/**
 * Quarantines a request that crashes endpoints, found by this VM or received from another. It explains the deaths
 * during which it ran, so the other requests that ran there are no longer suspects because of these deaths.
 */
export function quarantine(state: SuspectState, request: RequestFingerprint, until: Millis): SuspectState {
    const knownUntil = state.quarantined.get(request) ?? until;
    const entries = [
        ...[...state.quarantined].filter(([other]) => other !== request),
        [request, Math.max(knownUntil, until)] as const,
    ];
    const latest = entries.sort((a, b) => b[1] - a[1]).slice(0, SUSPECT_LIMITS.maxQuarantined);
    return {
        ...state,
        deaths: state.deaths.filter(death => !death.running.includes(request)),
        quarantined: new Map(latest),
    };
}
