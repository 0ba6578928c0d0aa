import type { Millis } from "@azureshunt/core";

import type { LinkState } from "./LinkState.js";
import { linkTiming } from "./linkTiming.js";

/** Returns the addresses of the endpoints to which the own links seem not to work. */
export function blockedAddresses({ bypassedAt }: LinkState, now: Millis): readonly string[] {
    return [...bypassedAt].filter(([, at]) => now - at < linkTiming.blockedMs).map(([address]) => address);
}
