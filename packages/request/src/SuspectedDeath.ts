import type { EndpointDeath } from "./EndpointDeath.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";

/** A death that no request has been found to be the cause of; `running` holds the requests still suspected. */
export type SuspectedDeath = EndpointDeath & {
    /** Requests that ran there and have since run to their end elsewhere; a late report must not accuse them again. */
    readonly cleared: readonly RequestFingerprint[];
    /** Whether every VM has said what it ran there. */
    readonly complete: boolean;
};
