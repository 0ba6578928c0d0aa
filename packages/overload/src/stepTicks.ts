import type { Millis } from "@azureshunt/core";

import type { TickTimes } from "./TickTimes.js";

/**
 * Returns the times after a tick of a timer that is due at every interval.
 *
 * @param pausedMs time since the tick before in which the process did not run
 */
export function stepTicks({ tickAt }: TickTimes, intervalMs: Millis, now: Millis, pausedMs: Millis = 0): TickTimes {
    const lagMs = Math.max(0, now - tickAt - intervalMs);
    return { tickAt: now, previousTickAt: tickAt, lagMs, pausedMs: Math.min(lagMs, pausedMs) };
}
