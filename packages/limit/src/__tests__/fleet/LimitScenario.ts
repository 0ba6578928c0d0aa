import type { Millis } from "@azureshunt/core";

import type { Placer } from "./Placer.js";
import type { PlacerParts } from "./PlacerParts.js";

/** A fleet, its load, and endpoints that name a limit from time 0 on. */
export type LimitScenario = {
    readonly vms: number;
    readonly failureDomains: number;
    readonly endpoints: number;
    /** How many of them name a limit. */
    readonly limited: number;
    /** Requests a second that each limited endpoint takes, at a time. */
    readonly limitAt: (now: Millis) => number;
    /** Requests a second of all callers, at a time. */
    readonly offeredAt: (now: Millis) => number;
    /** Fraction of the requests that reach the first VM; the others are spread evenly. */
    readonly firstVmShare?: number;
    /** Failure domain that no caller reaches. */
    readonly idleDomain?: number;
    /** VMs that are killed together and start again, by the time of the kill. */
    readonly kills?: readonly { readonly at: Millis; readonly count: number; }[];
    /** VMs, the last ones, that neither send to nor hear of the others for a time. */
    readonly cut?: { readonly from: Millis; readonly to: Millis; readonly count: number; };
    readonly createPlacer: (parts: PlacerParts) => Placer;
    readonly seed: number;
    readonly durationMs: Millis;
};
