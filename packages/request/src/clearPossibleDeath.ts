import type { SuspectState } from "./SuspectState.js";

/** Removes a possible death from all tries that broke off with it, once it has been checked. */
export function clearPossibleDeath(state: SuspectState, deathId: string): SuspectState {
    const unjudged = [...state.unjudged]
        .map(([request, deathIds]) => [request, deathIds.filter(id => id !== deathId)] as const)
        .filter(([, deathIds]) => deathIds.length > 0);
    return { ...state, unjudged: new Map(unjudged) };
}
