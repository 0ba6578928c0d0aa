import type { Millis } from "@azureshunt/core";

/** Estimated time to the first token at one endpoint, by cause. */
export type Estimate = {
    /** Earlier work of the endpoint. */
    readonly wait: Millis;
    /** Fetching cached pieces from another endpoint, in parallel with `wait`. */
    readonly fetch: Millis;
    /** Prefill of the uncached part of the prompt. */
    readonly prefill: Millis;
    /** Round trip. */
    readonly network: Millis;
    /** Loading of weights. */
    readonly coldStart: Millis;
    /** `max(wait, fetch)` plus all others. */
    readonly total: Millis;
};
