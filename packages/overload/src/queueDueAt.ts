import type { Millis } from "@azureshunt/core";

import { orderWaiting } from "./orderWaiting.js";
import type { WaitQueue } from "./WaitQueue.js";
import { waitTiming } from "./waitTiming.js";

/**
 * Returns when the queue changes by time alone: its head's predicted delay has passed, a request is raised and may become
 * the head, or one has to leave. `undefined` if nothing waits, so that an idle VM needs no timer.
 */
export function queueDueAt(queue: WaitQueue, now: Millis): Millis | undefined {
    if (queue.waiting.length === 0) {
        return undefined;
    }
    const [head, ...others] = orderWaiting(queue, now);
    const raises = others
        .filter(({ priority }) => priority > 0)
        .map(({ since, leaveAt }) => since + (leaveAt - since) * waitTiming.raiseShare)
        .filter(raiseAt => raiseAt > now);
    return Math.min(head?.roomAt ?? Infinity, ...raises, ...queue.waiting.map(({ leaveAt }) => leaveAt));
}
