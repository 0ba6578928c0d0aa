import type { Registry } from "./Registry.js";

/** The registry as a process knows it at its start. */
const emptyRegistry: Registry = {
    endpoints: new Map(),
    isKnown: false,
    answeredAt: -Infinity,
    answeringSince: -Infinity,
};

export { emptyRegistry };
