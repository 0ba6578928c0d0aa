import type { Millis } from "@azureshunt/core";

import type { TickTimes } from "./TickTimes.js";

/** Bounds of the time for which a request that is read now has waited unread. */
type Waited = { readonly least: Millis; readonly most: Millis; };

const NOT_WAITED: Waited = { least: 0, most: 0 };

type HeadRead = {
    /** When its connection was accepted, if this is its first request. */
    readonly acceptedAt: Millis | undefined;
    /** Whether it is read in the first two turns of the event loop after the last tick. */
    readonly isAfterTick: boolean;
};

/**
 * Returns for how long a request may have waited unread whose head is read now.
 *
 * Timers run before sockets in each turn of the event loop. If a tick is overdue, the turn began before it was due, and
 * what is read in it was there by then. After a late tick, one turn reads what has arrived on open connections, and the
 * next one what has arrived on the connections that the first accepted; later turns read what has arrived since. That a
 * connection was accepted earlier is no lower bound, as it may have been opened ahead of its request.
 */
export function waitedMs(
    { tickAt, previousTickAt, lagMs }: Omit<TickTimes, "pausedMs">,
    intervalMs: Millis,
    { acceptedAt, isAfterTick }: HeadRead,
    now: Millis,
): Waited {
    const overdueMs = Math.max(0, now - tickAt - intervalMs);
    if (overdueMs === 0 && !(isAfterTick && lagMs >= intervalMs)) {
        return NOT_WAITED;
    }
    const most = Math.min(now - previousTickAt, now - (acceptedAt ?? -Infinity));
    return { least: Math.min(most, overdueMs), most };
}
