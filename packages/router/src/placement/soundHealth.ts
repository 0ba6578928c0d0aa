import type { EndpointHealth } from "./EndpointHealth.js";

/** Health of an endpoint that has not been tried. */
const soundHealth: EndpointHealth = { failureRate: 0, unreachedInRow: 0, downUntil: -Infinity };

export { soundHealth };
