import type { Millis } from "@azureshunt/core";

/** Timing of repeated probes of a process. */
export type ProbeTiming = {
    /** Delay between two probes. */
    readonly againMs: Millis;
    /** Time limit for all probes together. */
    readonly allMs: Millis;
};
