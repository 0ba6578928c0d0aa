import type { EndpointDeath } from "./EndpointDeath.js";
import type { RequestFingerprint } from "./RequestFingerprint.js";

/** A death whose cause is unknown; `running` holds the requests that are still suspects. */
export type SuspectedDeath = EndpointDeath & {
    /** Requests that ran there and have since completed elsewhere; a late report must not make them suspects again. */
    readonly cleared: readonly RequestFingerprint[];
    /** Whether every VM has reported what it ran there. */
    readonly complete: boolean;
};
