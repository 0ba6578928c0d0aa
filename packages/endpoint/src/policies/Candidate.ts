import type { EndpointName } from "@azureshunt/core";

import type { Estimate } from "../estimate/Estimate.js";
import type { EndpointLoad } from "../state/EndpointLoad.js";
import type { CacheFetch } from "./CacheFetch.js";

/** An endpoint that may run a request. */
export type Candidate = {
    readonly endpoint: EndpointName;
    readonly load: EndpointLoad;
    /** Leading pieces of the prompt that it holds. */
    readonly matchedPieces: number;
    /** What it is to fetch first, where that is quicker than computing; the estimate counts it in. */
    readonly fetch: CacheFetch | undefined;
    readonly estimate: Estimate;
};
