import type { Millis } from "@azureshunt/core";

/** Estimated times until an endpoint starts on a request and until its answer starts. */
export type StartEstimate = {
    /** Until the endpoint would start processing this request. */
    readonly queueMs: Millis;
    /** Until its answer would start; includes `queueMs`. */
    readonly startMs: Millis;
    /** `startMs` with tries counted that are overdue at the endpoint; only for the choice among endpoints. */
    readonly rankMs: Millis;
    /**
     * Estimate by the constants alone, whatever was learned of the endpoint. Answers of two software versions are compared
     * by it: if they were compared by `startMs`, a slower version would be expected to be slow, and not be noticed.
     */
    readonly usualMs: Millis;
};
