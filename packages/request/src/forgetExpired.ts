import type { Millis } from "@azureshunt/core";

import { SUSPECT_LIMITS } from "./SUSPECT_LIMITS.js";
import type { SuspectState } from "./SuspectState.js";

/** Drops expired deaths and quarantines. */
export function forgetExpired(state: SuspectState, now: Millis): SuspectState {
    return {
        ...state,
        deaths: state.deaths.filter(death => now - death.at < SUSPECT_LIMITS.suspectMs),
        quarantined: new Map([...state.quarantined].filter(([, until]) => until > now)),
    };
}
