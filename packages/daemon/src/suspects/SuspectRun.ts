import type { EndpointName } from "@azureshunt/core";
import type { RequestFingerprint } from "@azureshunt/request";

/** A run of a request at an endpoint, under way or about to begin. */
export type SuspectRun = {
    readonly request: RequestFingerprint;
    readonly endpoint: EndpointName;
    /** Whether the endpoint has begun its answer; such a request is not what crashes it. */
    readonly isAnswering: boolean;
};
