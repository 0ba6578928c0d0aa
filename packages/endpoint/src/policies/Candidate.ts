import type { EndpointName } from "@azureshunt/core";

import type { Estimate } from "../estimate/Estimate.js";
import type { EndpointLoad } from "../state/EndpointLoad.js";

/** An endpoint that may run a request. */
export type Candidate = {
    readonly endpoint: EndpointName;
    readonly load: EndpointLoad;
    /** Leading pieces of the prompt that it holds. */
    readonly matchedPieces: number;
    readonly estimate: Estimate;
};
