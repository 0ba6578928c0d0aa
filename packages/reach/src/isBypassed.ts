import type { Millis } from "@azureshunt/core";

import type { LinkState } from "./LinkState.js";
import type { LinkTarget } from "./LinkTarget.js";
import { linkTiming } from "./linkTiming.js";

/** Returns whether peers lately opened connections to an endpoint to which the own link has opened none since. */
export function isBypassed({ unopened }: LinkState, { address }: LinkTarget, now: Millis): boolean {
    return now - (unopened.get(address)?.bypassedAt ?? -Infinity) < linkTiming.blockedMs;
}
