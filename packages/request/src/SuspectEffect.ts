import type { Millis } from "@azureshunt/core";

import type { RequestFingerprint } from "./RequestFingerprint.js";

/** What every VM is to be told: the request crashes endpoints, and is not to be run before `until`. */
export type SuspectEffect = {
    readonly kind: "quarantine";
    readonly request: RequestFingerprint;
    readonly until: Millis;
};
