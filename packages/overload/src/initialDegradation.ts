import type { Degradation } from "./Degradation.js";

/** State of a service that is not degraded. */
const initialDegradation: Degradation = { step: 0, steppedAt: -Infinity, lost: 0, shortSince: undefined };

export { initialDegradation };
