import type { EndpointName, Millis } from "@azureshunt/core";

import type { RequestFingerprint } from "./RequestFingerprint.js";

/** One death of an endpoint, with the requests that any VM was running there when it died. */
export type EndpointDeath = {
    readonly id: string;
    readonly endpoint: EndpointName;
    readonly at: Millis;
    readonly running: readonly RequestFingerprint[];
};
