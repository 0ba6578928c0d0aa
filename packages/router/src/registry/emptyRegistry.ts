import type { Registry } from "./Registry.js";

/** The registry before the first read. */
const emptyRegistry: Registry = {
    endpoints: new Map(),
    isKnown: false,
    answeredAt: -Infinity,
    readAsOf: -Infinity,
    answeringSince: -Infinity,
};

export { emptyRegistry };
