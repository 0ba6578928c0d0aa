import type { Millis } from "@azureshunt/core";

/** How a process is asked again whether it lives. */
export type ProbePace = {
    /** Between two askings. */
    readonly againMs: Millis;
    /** For all of them. */
    readonly allMs: Millis;
};
