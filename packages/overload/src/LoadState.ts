import type { Millis } from "@azureshunt/core";

import type { KindLoad } from "./KindLoad.js";
import type { PriorityLoad } from "./PriorityLoad.js";

/** What a VM knows of its own CPU time. */
export type LoadState = {
    /** Highest recent lag, which fades. */
    readonly peakLagMs: Millis;
    /** Fraction of all requests to refuse. */
    readonly shedFraction: number;
    readonly kinds: ReadonlyMap<string, KindLoad>;
    /** Organisations with recent requests, by the priority of the kinds. */
    readonly priorities: ReadonlyMap<number, PriorityLoad>;
};
