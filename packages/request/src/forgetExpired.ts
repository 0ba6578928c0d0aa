import type { Millis } from "@azureshunt/core";

import { SUSPECT_LIMITS } from "./SUSPECT_LIMITS.js";
import type { SuspectState } from "./SuspectState.js";

/** Drops deaths and quarantines that are past their time. */
export function forgetExpired(state: SuspectState, now: Millis): SuspectState {
    return {
        ...state,
        deaths: state.deaths.filter(death => now - death.at < SUSPECT_LIMITS.suspectMs),
        quarantined: new Map([...state.quarantined].filter(([, until]) => until > now)),
    };
}
