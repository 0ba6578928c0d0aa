import type { Millis } from "@azureshunt/core";

import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectedDeath } from "./SuspectedDeath.js";

/**
 * Requests that were running on endpoints when these died. A request is a suspect while a death that it was present at
 * has no better explanation.
 */
export type SuspectState = {
    /** Deaths not explained, the oldest first. */
    readonly deaths: readonly SuspectedDeath[];
    /** Requests whose tries broke off on this VM, with the ids of the deaths that these would be; not yet judged. */
    readonly unjudged: ReadonlyMap<RequestFingerprint, readonly string[]>;
    /** Requests found to crash endpoints, and until when they are answered without being run. */
    readonly quarantined: ReadonlyMap<RequestFingerprint, Millis>;
};
