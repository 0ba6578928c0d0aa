import type { EndpointName, Millis } from "@azureshunt/core";

import { deathsOf } from "./deathsOf.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectState } from "./SuspectState.js";

/** How long after a death its suspects keep to the endpoints that are theirs; later they may go anywhere. */
const SPREAD_MS = 2_000;

/**
 * Whether an endpoint is among those that a suspect is to be tried on right after a death. All VMs deal the endpoints out
 * to the suspects of a death alike, so that suspects of different VMs do not meet on one endpoint again.
 *
 * @param endpoints all endpoints that may serve it
 */
export function isSpreadTo(
    state: SuspectState,
    request: RequestFingerprint,
    endpoint: EndpointName,
    endpoints: readonly EndpointName[],
    now: Millis,
): boolean {
    const death = deathsOf(state, request).at(-1);
    if (death === undefined || now - death.at > SPREAD_MS) {
        return true;
    }
    const others = endpoints.filter(name => name !== death.endpoint).sort();
    const place = others.indexOf(endpoint);
    if (place < 0) {
        return others.length === 0;
    }
    const suspects = [...death.running].sort();
    const index = suspects.indexOf(request);
    return suspects.length <= others.length ? place % suspects.length === index : index % others.length === place;
}
