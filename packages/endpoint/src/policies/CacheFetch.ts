import type { EndpointName } from "@azureshunt/core";

/** Pieces that an endpoint is to fetch from another one's cache before it runs a request. */
export type CacheFetch = {
    readonly from: EndpointName;
    /** Leading pieces of the prompt that it holds after that. */
    readonly pieces: number;
};
