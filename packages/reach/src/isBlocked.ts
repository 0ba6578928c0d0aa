import type { Millis } from "@azureshunt/core";

import { isCutOff } from "./isCutOff.js";
import type { LinkState } from "./LinkState.js";
import { linkTiming } from "./linkTiming.js";

/** Returns whether the own link to the endpoint at an address, `host:port`, seems not to work. */
export function isBlocked(state: LinkState, address: string, now: Millis): boolean {
    const bypassedAt = state.bypassedAt.get(address) ?? -Infinity;
    return now - bypassedAt < linkTiming.blockedMs || isCutOff(state, now);
}
