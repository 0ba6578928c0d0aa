import type { Millis } from "@azureshunt/core";

import { blockedAddresses } from "./blockedAddresses.js";
import type { LinkState } from "./LinkState.js";

/** Fewer endpoints that only peers reach may have a fault of their own, or share a link that has failed. */
const MIN_BLOCKED = 3;
/** With links to some endpoints left, one of them opens a connection within this time while requests arrive. */
const MIN_MS: Millis = 250;

/**
 * Returns whether this VM seems to have lost its links to all endpoints: peers reach several to which its own links do
 * not open connections, and no own link has opened one for a while.
 */
export function isCutOff(state: LinkState, now: Millis): boolean {
    const since = blockedAddresses(state, now)
        .filter(address => (state.bypassedAt.get(address) ?? -Infinity) > state.openedAt);
    return since.length >= MIN_BLOCKED && now - state.openedAt >= MIN_MS;
}
