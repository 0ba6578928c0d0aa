import type { SuspectState } from "./SuspectState.js";

/** Forgets the tries that broke off with a possible death, as it has been judged. */
export function settleBreak(state: SuspectState, death: string): SuspectState {
    const unjudged = [...state.unjudged]
        .map(([request, ids]) => [request, ids.filter(id => id !== death)] as const)
        .filter(([, ids]) => ids.length > 0);
    return { ...state, unjudged: new Map(unjudged) };
}
