import type { StreamOrigin } from "@azureshunt/continuation";

import type { TryParts } from "./TryParts.js";

const originOf = ({ parts, place: { entry } }: TryParts): StreamOrigin => ({
    service: entry.service,
    softwareVersion: entry.softwareVersion,
    first: { name: entry.name, bornAt: entry.bornAt, eventAt: parts.clock.epoch() },
});

/**
 * Records where a stream began, or that it goes on, with the first event of a try. Called before that event is
 * forwarded, as its caller may take the stream up at another VM at once.
 */
export function recordOrigin(tryParts: TryParts): void {
    const { parts, served, place, progress } = tryParts;
    const { id, begunBy, deadlineMs } = served.caller;
    const isContinued = progress.origin !== undefined;
    const origin = progress.origin ?? originOf(tryParts);
    if (progress.forwardedEvents === 0) {
        // The time left is that of the caller, which may take the stream up after the route's timeout.
        const leftMs = deadlineMs === undefined ? Infinity : served.arrivedAt + deadlineMs - parts.clock.now();
        [id, ...(begunBy === undefined ? [] : [begunBy])].forEach(attempt =>
            parts.streams.recordFirst(served.organisation?.id, attempt, origin, leftMs)
        );
    }
    progress.origin = origin;
    if (!isContinued) {
        return;
    }
    served.notes.flush();
    served.notes.add("Stream goes on.", {
        by: progress.forwardedEvents === 0 ? "caller" : "router",
        begunBy,
        after: progress.lastEventId,
        origin,
        endpoint: place.entry.name,
        softwareVersion: place.entry.softwareVersion,
        bornAt: place.entry.bornAt,
    });
}
