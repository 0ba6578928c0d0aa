import type { Millis } from "@azureshunt/core";

import type { TickTimes } from "./TickTimes.js";

/** Returns the times of a timer that has just started: it has no lag. */
export function initialTicks(now: Millis): TickTimes {
    return { tickAt: now, previousTickAt: now, lagMs: 0, pausedMs: 0 };
}
