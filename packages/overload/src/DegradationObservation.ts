import type { Millis } from "@azureshunt/core";

/** What a VM sees of the endpoints of a service. */
export type DegradationObservation = {
    /** Fraction of the endpoints that are not silent. */
    readonly available: number;
    /** Longest predicted queue at the endpoints that were chosen since the last observation. */
    readonly queueMs: Millis;
    /** Objective of the most urgent kind of the service. */
    readonly objectiveMs: Millis;
};
