import type { EndpointName } from "@azureshunt/core";

import type { Estimate } from "../estimate/Estimate.js";
import type { EndpointLoad } from "../state/EndpointLoad.js";
import type { CacheFetch } from "./CacheFetch.js";

/** An endpoint that may run a request. */
export type Candidate = {
    readonly endpoint: EndpointName;
    readonly load: EndpointLoad;
    /** Leading pieces of the prompt that the endpoint holds or is expected to hold soon. */
    readonly matchedPieces: number;
    /** Pieces to fetch first if that is faster than computing them; included in the estimate. */
    readonly fetch: CacheFetch | undefined;
    readonly estimate: Estimate;
};
