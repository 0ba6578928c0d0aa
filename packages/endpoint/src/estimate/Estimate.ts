import type { Millis } from "@azureshunt/core";

/** Estimated time to the first token at one endpoint, in milliseconds and by cause. */
export type Estimate = {
    /** Work that the endpoint has before this request. */
    readonly wait: Millis;
    /** Fetching cached pieces from elsewhere; the queue goes on meanwhile. */
    readonly fetch: Millis;
    /** Computing the part of the prompt that is not cached. */
    readonly prefill: Millis;
    /** Way there and back. */
    readonly network: Millis;
    /** Loading weights first. */
    readonly coldStart: Millis;
    /** All together. */
    readonly total: Millis;
};
