import type { Millis } from "@azureshunt/core";

/**
 * Age at which a counter that was not received again expires, unless its VMs were counted as silent within this time
 * after it was last received.
 */
const EXPIRY_MS: Millis = 4_000;

export { EXPIRY_MS };
