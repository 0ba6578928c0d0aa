import type { Millis } from "@azureshunt/core";

/**
 * Longest idle time of a connection that counts as working. That an endpoint has stopped responding, or that a connection is lost,
 * shows only when the connection is used. Opening a new connection costs a round trip and proves that the endpoint is alive.
 */
const PROVEN_MAX_IDLE_MS: Millis = 250;

export { PROVEN_MAX_IDLE_MS };
