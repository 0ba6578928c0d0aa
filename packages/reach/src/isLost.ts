import type { Millis } from "@azureshunt/core";

import { cutOffGroup } from "./cutOffGroup.js";
import { isBypassed } from "./isBypassed.js";
import type { LinkState } from "./LinkState.js";
import type { LinkTarget } from "./LinkTarget.js";
import { serviceGroup } from "./serviceGroup.js";

/**
 * Returns whether the own link to an endpoint seems not to work, and nothing has opened to its service since that was
 * last seen. After a cut has ended, a link that is blocked may be back, so it is worth a try.
 */
export function isLost(state: LinkState, target: LinkTarget, now: Millis): boolean {
    const bypassedAt = state.unopened.get(target.address)?.bypassedAt ?? -Infinity;
    const openedAt = state.openedAt.get(serviceGroup(target.service)) ?? -Infinity;
    return cutOffGroup(state, target, now) !== undefined || isBypassed(state, target, now) && bypassedAt > openedAt;
}
