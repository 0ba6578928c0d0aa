import type { Millis } from "@azureshunt/core";

import type { EndpointGroup } from "./EndpointGroup.js";
import { groupsOf } from "./groupsOf.js";
import { isCutOff } from "./isCutOff.js";
import type { LinkState } from "./LinkState.js";
import type { LinkTarget } from "./LinkTarget.js";

/** Returns the largest group of an endpoint from which this VM seems to be cut off; `undefined` if there is none. */
export function cutOffGroup(state: LinkState, target: LinkTarget, now: Millis): EndpointGroup | undefined {
    return groupsOf(target).find(group => isCutOff(state, group, now));
}
