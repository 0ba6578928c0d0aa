import type { RequestId } from "@azureshunt/core";

import type { TracePort } from "./ports/TracePort.js";

/** Maximum number of requests whose events are kept, to bound memory. The oldest is evicted first. */
const MAX_REQUESTS = 2_000;

type Events = NonNullable<ReturnType<TracePort["get"]>>;

/**
 * Keeps the events of the most recent requests in memory.
 *
 * @param epoch returns the time of day in milliseconds since the epoch
 */
export function createTracePort(epoch: () => number): TracePort {
    const traces = new Map<RequestId, Events[number][]>();

    const evictOldest = (): void => {
        const oldest = traces.keys().next();
        if (traces.size > MAX_REQUESTS && oldest.done !== true) {
            traces.delete(oldest.value);
        }
    };

    const add: TracePort["add"] = (id, what, values = {}) => {
        const events = traces.get(id) ?? [];
        events.push({ at: epoch(), what, values });
        traces.set(id, events);
        evictOldest();
    };

    return { add, get: id => traces.get(id) };
}
