import type { Millis } from "@azureshunt/core";

import type { EndpointLimit } from "./EndpointLimit.js";

/** Takes a turn for a request that is sent to the endpoint. */
export function useTurn(limit: EndpointLimit, now: Millis): EndpointLimit {
    return { ...limit, turns: Math.max(0, limit.turns - 1), turnSince: now };
}
