import { isSuspect } from "./isSuspect.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectState } from "./SuspectState.js";

/**
 * Returns whether a request may be sent to an endpoint, given the requests already running there.
 *
 * If two suspects shared an endpoint again and it died again, the cause could not be told from the unrelated request.
 * To prevent this, an endpoint runs at most one suspect, so that the next death has only one.
 */
export function mayShareEndpoint(
    state: SuspectState,
    request: RequestFingerprint,
    running: readonly RequestFingerprint[],
): boolean {
    return !isSuspect(state, request) || !running.some(other => other !== request && isSuspect(state, other));
}
