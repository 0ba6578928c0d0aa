import type { Millis } from "@azureshunt/core";

import type { Candidate } from "./Candidate.js";
import type { ReachPreference } from "./ReachPreference.js";

/**
 * Leaves out candidates that may refuse the connection, as far as others are left.
 *
 * Endpoints may be listed at which nothing listens. They look idle, so they would draw all requests. One to which no
 * connection has been open since it was listed or last refused gets one request at a time, and none that another one has
 * refused already. So a request meets few of them, and they are noticed when they are back.
 *
 * @param now determines which candidates are in backoff
 */
export function preferReachable<Placeable extends { readonly candidate: Candidate; }>(
    placeable: readonly Placeable[],
    now: Millis,
    { isAfterUnreached, mayBeInBackoff }: ReachPreference,
): readonly Placeable[] {
    // The usual case, met by each request.
    if (placeable.every(({ candidate }) => candidate.hasBeenReached && candidate.health.backoffUntil <= now)) {
        return placeable;
    }
    const available = placeable.filter(({ candidate }) => candidate.health.backoffUntil <= now);
    if (available.length === 0) {
        return mayBeInBackoff ? placeable : [];
    }
    if (!available.some(({ candidate }) => candidate.hasBeenReached)) {
        return available;
    }
    return available.filter(({ candidate: { hasBeenReached, ownRunning } }) =>
        hasBeenReached || (!isAfterUnreached && ownRunning === 0)
    );
}
