import type { Millis } from "@azureshunt/core";

import type { EndpointLimit } from "./EndpointLimit.js";
import { limitTiming } from "./limitTiming.js";

/** Adds what one request gives of a turn, after a turn that was not used in time has lapsed. */
export function gatherTurns(limit: EndpointLimit, perRequest: number, now: Millis): EndpointLimit {
    const hasLapsed = limit.turns >= 1 && now - limit.turnSince >= limitTiming.turnMs;
    const before = hasLapsed ? limit.turns - 1 : limit.turns;
    const turns = Math.min(limitTiming.maxTurns, before + perRequest);
    return { ...limit, turns, turnSince: hasLapsed || before < 1 ? now : limit.turnSince };
}
