import type { EndpointHealth } from "./EndpointHealth.js";

/** Health of an endpoint that has not been tried yet. */
const initialHealth: EndpointHealth = { failureRate: 0, unreachedInRow: 0, backoffUntil: -Infinity };

export { initialHealth };
