import type { EndpointLimit } from "./EndpointLimit.js";

/** Returns whether a VM may send a request to a limited endpoint now. */
export function hasTurn({ turns }: EndpointLimit): boolean {
    return turns >= 1;
}
