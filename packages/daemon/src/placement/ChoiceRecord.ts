import type { EndpointName, Millis } from "@azureshunt/core";
import type { Candidate } from "@azureshunt/endpoint";

/** A choice of an endpoint, kept for `azureshunt why`. */
export type ChoiceRecord = {
    readonly at: Millis;
    /** Milliseconds that the request waited in this daemon's queue. */
    readonly waitedMs: Millis;
    readonly chosen: EndpointName;
    /** Each endpoint that could have run the request, with its estimate in milliseconds. */
    readonly candidates: readonly Candidate[];
};
