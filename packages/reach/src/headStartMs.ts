import type { Millis } from "@azureshunt/core";

import { isBlocked } from "./isBlocked.js";
import type { LinkState } from "./LinkState.js";
import { linkTiming } from "./linkTiming.js";

/** Returns how long the own link may take to open a connection before a peer is asked as well. */
export function headStartMs(state: LinkState, address: string, now: Millis): Millis {
    return isBlocked(state, address, now) ? 0 : linkTiming.headStartMs;
}
