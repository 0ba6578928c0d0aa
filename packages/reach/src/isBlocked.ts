import type { Millis } from "@azureshunt/core";

import { cutOffGroup } from "./cutOffGroup.js";
import { isBypassed } from "./isBypassed.js";
import type { LinkState } from "./LinkState.js";
import type { LinkTarget } from "./LinkTarget.js";

/** Returns whether the own link to an endpoint seems not to work. */
export function isBlocked(state: LinkState, target: LinkTarget, now: Millis): boolean {
    return isBypassed(state, target, now) || cutOffGroup(state, target, now) !== undefined;
}
