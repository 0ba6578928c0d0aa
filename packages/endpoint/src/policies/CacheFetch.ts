import type { EndpointName } from "@azureshunt/core";

/** Pieces that an endpoint fetches from another endpoint's cache before it runs a request. */
export type CacheFetch = {
    readonly from: EndpointName;
    /** Leading pieces of the prompt that it holds after the fetch. */
    readonly pieces: number;
};
