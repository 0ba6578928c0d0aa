import type { EndpointName, Millis } from "@azureshunt/core";

import { deathsOf } from "./deathsOf.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectState } from "./SuspectState.js";

/** How long after a death its suspects are restricted to their assigned endpoints; later, any endpoint is allowed. */
const ASSIGNMENT_MS = 2_000;

/**
 * Returns whether an endpoint is one of those on which a suspect may be retried right after a death. All VMs assign the
 * endpoints to the suspects of a death in the same way, so that suspects of different VMs do not share an endpoint
 * again.
 *
 * @param endpoints all endpoints that can serve the request
 */
export function isAssignedEndpoint(
    state: SuspectState,
    request: RequestFingerprint,
    endpoint: EndpointName,
    endpoints: readonly EndpointName[],
    now: Millis,
): boolean {
    const death = deathsOf(state, request).at(-1);
    if (death === undefined || now - death.at > ASSIGNMENT_MS) {
        return true;
    }
    const candidates = endpoints.filter(name => name !== death.endpoint).sort();
    const endpointIndex = candidates.indexOf(endpoint);
    if (endpointIndex < 0) {
        return candidates.length === 0;
    }
    const suspects = [...death.running].sort();
    const suspectIndex = suspects.indexOf(request);
    return suspects.length <= candidates.length
        ? endpointIndex % suspects.length === suspectIndex
        : suspectIndex % candidates.length === endpointIndex;
}
