import type { Millis } from "@azureshunt/core";

import type { RequestFingerprint } from "./RequestFingerprint.js";

/** Sent to every VM: the request crashes endpoints and must not be run before `until`. */
export type SuspectEffect = {
    readonly kind: "quarantine";
    readonly request: RequestFingerprint;
    readonly until: Millis;
};
