import type { Millis } from "@azureshunt/core";

import type { LoadState } from "./LoadState.js";

/** Bounds of the time for which a request that is read now has waited unread. */
type Waited = { readonly least: Millis; readonly most: Millis; };

const NOT_WAITED: Waited = { least: 0, most: 0 };

/**
 * Returns for how long a request may have waited unread whose head is read now.
 *
 * Timers run before sockets in each turn of the event loop. If a tick is overdue, the turn began before it was due, and
 * what is read in it was there by then. A request of a new connection has also waited since the connection was accepted,
 * but not for longer than since the tick before last: the connection may have been opened ahead of the request.
 *
 * @param acceptedAt when its connection was accepted, if this is its first request
 */
export function waitedMs(
    { tickAt, previousTickAt, lagMs }: LoadState,
    intervalMs: Millis,
    acceptedAt: Millis | undefined,
    now: Millis,
): Waited {
    const overdueMs = Math.max(0, now - tickAt - intervalMs);
    if (overdueMs === 0 && lagMs < intervalMs) {
        return NOT_WAITED;
    }
    const most = now - previousTickAt;
    const sinceAccepted = acceptedAt === undefined ? 0 : now - acceptedAt;
    return { least: Math.min(most, Math.max(overdueMs, sinceAccepted)), most };
}
