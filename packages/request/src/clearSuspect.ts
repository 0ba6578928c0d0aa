import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectState } from "./SuspectState.js";

/** Removes a request from the suspects of all deaths, because it has completed. */
export function clearSuspect(state: SuspectState, request: RequestFingerprint): SuspectState {
    const deaths = state.deaths.map(death =>
        death.running.includes(request)
            ? {
                ...death,
                running: death.running.filter(other => other !== request),
                cleared: [...death.cleared, request],
            }
            : death
    );
    return { ...state, deaths };
}
