import type { Millis } from "@azureshunt/core";

/** Estimated times until an endpoint starts on a request and until its answer starts. */
export type StartEstimate = {
    /** Until the endpoint would start processing this request. */
    readonly queueMs: Millis;
    /** Until its answer would start; includes `queueMs`. */
    readonly startMs: Millis;
};
