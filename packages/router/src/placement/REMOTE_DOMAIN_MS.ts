import type { Millis } from "@azureshunt/core";

/** A round trip to another failure domain, and the cost of its traffic. */
const REMOTE_DOMAIN_MS: Millis = 4;

export { REMOTE_DOMAIN_MS };
