import type { Millis } from "@azureshunt/core";

import type { TickTimes } from "./TickTimes.js";

/** Returns the times after a tick of a timer that is due at every interval. */
export function stepTicks({ tickAt }: TickTimes, intervalMs: Millis, now: Millis): TickTimes {
    return { tickAt: now, previousTickAt: tickAt, lagMs: Math.max(0, now - tickAt - intervalMs) };
}
