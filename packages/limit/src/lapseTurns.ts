import type { EndpointLimit } from "./EndpointLimit.js";

/**
 * Drops whole turns while an endpoint is exhausted. If VMs kept them, all would use them at the moment in which it is no
 * longer exhausted.
 */
export function lapseTurns(limit: EndpointLimit): EndpointLimit {
    return { ...limit, turns: limit.turns % 1 };
}
