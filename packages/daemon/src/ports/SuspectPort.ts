import type { EndpointName, Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { Call } from "./Call.js";
import type { Placement } from "./Placement.js";
import type { PlacementOutcome } from "./PlacementOutcome.js";

/** Remembers requests that were running on endpoints when these died. */
export type SuspectPort = {
    /** Left with `request-crashes-endpoints` for a request that is quarantined. */
    readonly check: (call: Call) => Either<Refusal, Call>;
    /** Whether the request may be dispatched to an endpoint beside what runs there. */
    readonly mayShare: (call: Call, endpoint: EndpointName) => boolean;
    /**
     * Tells that a request begins at an endpoint. The returned function tells how that ended; it settles when a death of
     * the endpoint has been judged, and nothing may be tried again before that.
     */
    readonly running: (call: Call, placement: Placement) => (outcome: PlacementOutcome) => Promise<void>;
};
