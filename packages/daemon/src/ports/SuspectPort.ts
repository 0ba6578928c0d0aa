import type { EndpointName, Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { Call } from "./Call.js";

/** Remembers requests that were running on endpoints when these died. */
export type SuspectPort = {
    /** Left with `request-crashes-endpoints` for a request that is quarantined. */
    readonly check: (call: Call) => Either<Refusal, Call>;
    /** Whether the request may be dispatched to an endpoint beside what runs there. */
    readonly mayShare: (call: Call, endpoint: EndpointName) => boolean;
    /** Tells that a request begins at an endpoint; the returned function ends it, telling whether the endpoint died. */
    readonly running: (call: Call, endpoint: EndpointName) => (endpointDied: boolean) => void;
};
