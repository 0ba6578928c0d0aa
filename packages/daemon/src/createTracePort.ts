import type { RequestId } from "@azureshunt/core";

import type { TracePort } from "./ports/TracePort.js";

/** Requests that are remembered; the oldest is forgotten first, so memory stays bounded. */
const MAX_REQUESTS = 2_000;

type Events = NonNullable<ReturnType<TracePort["get"]>>;

/**
 * Remembers what happened to the newest requests.
 *
 * @param epoch milliseconds since the epoch
 */
export function createTracePort(epoch: () => number): TracePort {
    const traces = new Map<RequestId, Events[number][]>();

    const forgetOldest = (): void => {
        const oldest = traces.keys().next();
        if (traces.size > MAX_REQUESTS && oldest.done !== true) {
            traces.delete(oldest.value);
        }
    };

    const add: TracePort["add"] = (id, what, values = {}) => {
        const events = traces.get(id) ?? [];
        events.push({ at: epoch(), what, values });
        traces.set(id, events);
        forgetOldest();
    };

    return { add, get: id => traces.get(id) };
}
