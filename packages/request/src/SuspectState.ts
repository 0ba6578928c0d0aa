import type { Millis } from "@azureshunt/core";

import type { RequestFingerprint } from "./RequestFingerprint.js";
import type { SuspectedDeath } from "./SuspectedDeath.js";

/**
 * Requests that were running on endpoints when these died. A request stays a suspect while the cause of such a death is
 * unknown, unless it completes elsewhere.
 */
export type SuspectState = {
    /** Deaths whose cause is unknown, oldest first. */
    readonly deaths: readonly SuspectedDeath[];
    /** Requests whose tries broke off on this VM, with the ids of possible deaths that have not been checked yet. */
    readonly unjudged: ReadonlyMap<RequestFingerprint, readonly string[]>;
    /** Requests found to crash endpoints, with the time until which they are refused without being run. */
    readonly quarantined: ReadonlyMap<RequestFingerprint, Millis>;
};
