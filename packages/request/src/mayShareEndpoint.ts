import { isSuspect } from "./isSuspect.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectState } from "./SuspectState.js";

/**
 * Whether a request may go to an endpoint beside what is running there.
 *
 * Failure guarded against: two suspects share an endpoint again, it dies again, and nothing tells the request at fault
 * from the innocent one. With at most one suspect on an endpoint, the next death has one suspect.
 */
export function mayShareEndpoint(
    state: SuspectState,
    request: RequestFingerprint,
    running: readonly RequestFingerprint[],
): boolean {
    return !isSuspect(state, request) || !running.some(other => other !== request && isSuspect(state, other));
}
