import type { Millis } from "@azureshunt/core";

import { deathsOf } from "./deathsOf.js";
import { isWithheld } from "./isWithheld.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";
import { SUSPECT_LIMITS } from "./SUSPECT_LIMITS.js";
import type { SuspectState } from "./SuspectState.js";

/**
 * Returns the time until which a request is withheld if nothing more becomes known of the endpoint deaths during which
 * it ran.
 *
 * @returns `undefined` if it may run, and `now` if it is withheld only because of possible deaths not checked yet
 */
export function withheldUntil(state: SuspectState, request: RequestFingerprint, now: Millis): Millis | undefined {
    if (!isWithheld(state, request)) {
        return undefined;
    }
    // It may run again once too few deaths are left to withhold it, that is when the oldest of the newest ones expires.
    const decisive = deathsOf(state, request).at(-SUSPECT_LIMITS.withholdAtDeaths);
    return decisive === undefined ? now : decisive.at + SUSPECT_LIMITS.suspectMs;
}
