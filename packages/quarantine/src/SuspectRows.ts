import type { Millis } from "@azureshunt/core";

import type { SuspectKey } from "./SuspectKey.js";

/** What VMs send each other about what crashes endpoints. All rows are empty while no endpoint dies. */
export type SuspectRows = {
    /** Requests that ran on an endpoint when it died, and the endpoint with its incarnation; sent for some seconds. */
    readonly deaths: readonly (readonly [SuspectKey, string])[];
    /** The same for prompt parts, whether their stage was `begun`, and how long ago; sent for a second. */
    readonly suspectParts: readonly (readonly [SuspectKey, string, boolean, Millis])[];
    /** Suspects that endpoints have answered, and how long ago; sent for some seconds. */
    readonly answeredParts: readonly (readonly [SuspectKey, Millis])[];
    /** Quarantined suspects, and the remaining time of their quarantine. */
    readonly quarantined: readonly (readonly [SuspectKey, Millis])[];
};
