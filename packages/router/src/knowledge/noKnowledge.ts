import type { Knowledge } from "./Knowledge.js";

/** The declared state as a process knows it when it starts. */
const noKnowledge: Knowledge = {
    configuration: undefined,
    heardRevision: -1,
    confirmedAt: -Infinity,
    suspendedAt: -Infinity,
    weights: new Map(),
};

export { noKnowledge };
