import type { Millis } from "@azureshunt/core";

import { deathsOf } from "./deathsOf.js";
import { isHeld } from "./isHeld.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";
import { SUSPECT_LIMITS } from "./SUSPECT_LIMITS.js";
import type { SuspectState } from "./SuspectState.js";

/**
 * Until when a request is held if nothing more becomes known of the deaths that it was present at; undefined when it may
 * run, and `now` when it waits only for what endpoints show.
 */
export function heldUntil(state: SuspectState, request: RequestFingerprint, now: Millis): Millis | undefined {
    if (!isHeld(state, request)) {
        return undefined;
    }
    // It may run again once so many deaths are forgotten that too few are left to hold it.
    const decisive = deathsOf(state, request).at(-SUSPECT_LIMITS.endpoints);
    return decisive === undefined ? now : decisive.at + SUSPECT_LIMITS.suspectMs;
}
