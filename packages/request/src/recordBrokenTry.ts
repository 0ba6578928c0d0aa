import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectState } from "./SuspectState.js";

/**
 * Records that a try broke off, before it is known whether the endpoint has died.
 *
 * @param deathId id that the death has if the endpoint has died
 */
export function recordBrokenTry(state: SuspectState, request: RequestFingerprint, deathId: string): SuspectState {
    const deathIds = [...new Set([...state.unjudged.get(request) ?? [], deathId])];
    return { ...state, unjudged: new Map([...state.unjudged, [request, deathIds] as const]) };
}
