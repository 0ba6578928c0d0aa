import type { Millis } from "@azureshunt/core";

import type { EndpointLimit } from "./EndpointLimit.js";
import { limitTiming } from "./limitTiming.js";

/** Takes a turn for a request that is sent to the endpoint. */
export function useTurn(limit: EndpointLimit, now: Millis): EndpointLimit {
    const sentAt = [...limit.sentAt.filter(at => now - at < limitTiming.sentMs), now];
    return { ...limit, turns: Math.max(0, limit.turns - 1), turnSince: now, sentAt };
}
