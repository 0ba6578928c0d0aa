import type { EndpointName, Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { Admission } from "./Admission.js";
import type { Call } from "./Call.js";
import type { Placement } from "./Placement.js";
import type { SuspectRunEnd } from "./SuspectRunEnd.js";

/** Tells how a request goes on at an endpoint. */
type SuspectRunHandle = {
    /** To be called when the answer has begun. */
    readonly answering: () => void;
    /**
     * To be called when the try is over; settles when a death of the endpoint has been judged, and nothing may be tried
     * again before that.
     */
    readonly end: (ended: SuspectRunEnd) => Promise<void>;
};

/** Remembers requests that were running on endpoints when these died. */
export type SuspectPort = {
    /** Left with `request-crashes-endpoints` for a request that is quarantined, `request-quarantined` for one that is held. */
    readonly check: (call: Call) => Either<Refusal, Call>;
    /** Whether the request may be dispatched to an endpoint beside what this VM runs there. */
    readonly mayShare: (call: Call, endpoint: EndpointName) => boolean;
    /** Asks, for a suspect, whether it may run at the endpoint beside what all VMs run; others are admitted at once. */
    readonly admit: (call: Call, placement: Placement) => Promise<Admission>;
    /** Tells that a request begins at an endpoint. */
    readonly running: (call: Call, placement: Placement) => SuspectRunHandle;
};
