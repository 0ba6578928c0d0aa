import type { Millis } from "@azureshunt/core";

/** Predicted times of a request at an endpoint, without the network. */
export type Prediction = {
    /** Until the endpoint turns to the request. */
    readonly queueMs: Millis;
    /** From then to the start of its answer. */
    readonly ownMs: Millis;
};
