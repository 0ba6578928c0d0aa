import type { Millis } from "@azureshunt/core";

/** Bounds on what one answer may take before it counts as failed. */
export type FlowBounds = {
    /** Size of an answer that is buffered whole. */
    readonly answerBytes: number;
    /** Size of one event. */
    readonly eventBytes: number;
    /** Size of an answer's head, with what precedes it. */
    readonly headBytes: number;
    /** Time in which a head, a body or an event must end, or grow by `minProgressBytes`. */
    readonly progressMs: Millis;
};
