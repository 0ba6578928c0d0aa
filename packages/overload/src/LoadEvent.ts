import type { Millis } from "@azureshunt/core";

import type { KindArrivals } from "./KindArrivals.js";

/** The timer that is due at every interval has run. */
export type LoadEvent = {
    readonly kind: "tick";
    readonly intervalMs: Millis;
    readonly arrivals: readonly KindArrivals[];
};
