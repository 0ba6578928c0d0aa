import type { Knowledge } from "./Knowledge.js";

/** What a process knows at its start. */
const noKnowledge: Knowledge = {
    configuration: undefined,
    heardRevision: -1,
    confirmedAt: -Infinity,
    pausedAt: -Infinity,
    weights: new Map(),
};

export { noKnowledge };
