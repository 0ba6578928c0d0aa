import type { Millis } from "@azureshunt/core";

import type { EndpointDeath } from "./EndpointDeath.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";

/**
 * Requests that were running on endpoints when these died. A request is a suspect while a death that it was present at
 * has no better explanation.
 */
export type SuspectState = {
    /** Deaths not explained, the oldest first. */
    readonly deaths: readonly EndpointDeath[];
    /** Requests found to crash endpoints, and until when they are answered without being run. */
    readonly quarantined: ReadonlyMap<RequestFingerprint, Millis>;
};
