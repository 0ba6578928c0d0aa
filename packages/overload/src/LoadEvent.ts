import type { KindArrivals } from "./KindArrivals.js";
import type { TickTimes } from "./TickTimes.js";

/** The timer that is due at every interval has run. */
export type LoadEvent = {
    readonly kind: "tick";
    /** Times of the timer, this tick included. */
    readonly ticks: TickTimes;
    readonly arrivals: readonly KindArrivals[];
};
