import type { EndpointLimit } from "./EndpointLimit.js";

/** Returns whether a VM may send a request to a limited endpoint now. */
export function hasTurn({ perSecond, turns }: EndpointLimit): boolean {
    return perSecond === undefined || turns >= 1;
}
