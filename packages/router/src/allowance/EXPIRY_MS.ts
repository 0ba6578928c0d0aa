import type { Millis } from "@azureshunt/core";

/** Age at which a counter that was not received again expires, unless its spenders were counted as silent. */
const EXPIRY_MS: Millis = 4_000;

export { EXPIRY_MS };
