import type { EndpointName, Refusal } from "@azureshunt/core";
import type { Either } from "purify-ts";

import type { AdmissionResult } from "./AdmissionResult.js";
import type { Call } from "./Call.js";
import type { Placement } from "./Placement.js";
import type { SuspectRunEnd } from "./SuspectRunEnd.js";

/** Reports the progress of a request at an endpoint. */
type SuspectRunHandle = {
    /** Called when the answer has started; may be called again. */
    readonly answering: () => void;
    /**
     * Called when the try ends. Settles once a possible death of the endpoint has been checked; the request must not be
     * retried before that.
     */
    readonly end: (ended: SuspectRunEnd) => Promise<void>;
};

/** Tracks requests that were running at endpoints when these died. */
export type SuspectPort = {
    /** Left with `request-crashes-endpoints` if the request is quarantined, `request-quarantined` if it is withheld. */
    readonly check: (call: Call) => Either<Refusal, Call>;
    /** Returns whether the request may run at an endpoint together with the requests that this VM runs there. */
    readonly mayShare: (call: Call, endpoint: EndpointName) => boolean;
    /** Checks whether a suspect may run at the endpoint, considering all VMs; other requests are admitted at once. */
    readonly admit: (call: Call, placement: Placement) => Promise<AdmissionResult>;
    /** Registers a request that starts at an endpoint. */
    readonly running: (call: Call, placement: Placement) => SuspectRunHandle;
};
