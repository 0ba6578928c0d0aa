import type { Millis } from "@azureshunt/core";

import { cutOffGroup } from "./cutOffGroup.js";
import { isBypassed } from "./isBypassed.js";
import type { LinkState } from "./LinkState.js";
import type { LinkTarget } from "./LinkTarget.js";
import { linkTiming } from "./linkTiming.js";

/** Returns how long the own link may take to open a connection before a peer is asked as well. */
export function headStartMs(state: LinkState, target: LinkTarget, now: Millis): Millis {
    if (cutOffGroup(state, target, now) !== undefined) {
        return 0;
    }
    return isBypassed(state, target, now) ? linkTiming.bypassedHeadStartMs : linkTiming.headStartMs;
}
