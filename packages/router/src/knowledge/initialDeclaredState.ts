import type { DeclaredState } from "./DeclaredState.js";

/** The declared state as a process knows it when it starts. */
const initialDeclaredState: DeclaredState = {
    configuration: undefined,
    newestRevision: -1,
    confirmedAt: -Infinity,
    confirmedBy: undefined,
    suspendedAt: -Infinity,
    weights: new Map(),
};

export { initialDeclaredState };
