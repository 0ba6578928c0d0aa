import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectState } from "./SuspectState.js";

/**
 * Notes that a try broke off, before it is known whether the endpoint has died.
 *
 * @param death id of the death that it would be
 */
export function noteBreak(state: SuspectState, request: RequestFingerprint, death: string): SuspectState {
    const ids = [...new Set([...state.unjudged.get(request) ?? [], death])];
    return { ...state, unjudged: new Map([...state.unjudged, [request, ids] as const]) };
}
