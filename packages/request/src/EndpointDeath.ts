import type { EndpointName, Millis } from "@azureshunt/core";

import type { RequestFingerprint } from "./RequestFingerprint.js";

/** One death of an endpoint, with the requests that ran there on any VM. */
export type EndpointDeath = {
    readonly id: string;
    readonly endpoint: EndpointName;
    readonly at: Millis;
    readonly running: readonly RequestFingerprint[];
};
