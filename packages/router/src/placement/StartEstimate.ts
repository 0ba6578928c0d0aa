import type { Millis } from "@azureshunt/core";

/** When an endpoint would begin its answer, as estimated. */
export type StartEstimate = {
    /** Until it would turn to this request. */
    readonly queueMs: Millis;
    /** Until its answer would begin. */
    readonly startMs: Millis;
};
