import type { Millis } from "@azureshunt/core";

import type { WaitingRequest } from "./WaitingRequest.js";
import type { WaitQueue } from "./WaitQueue.js";
import { waitTiming } from "./waitTiming.js";

const priorityAt = ({ priority, since, leaveAt }: WaitingRequest, now: Millis): number =>
    now - since >= (leaveAt - since) * waitTiming.raiseShare ? Math.max(0, priority - 1) : priority;

/**
 * Returns the waiting requests in the order in which they are placed: by priority, then the organisation with fewer
 * requests in progress, then the least slack. Those that have waited for half of their time are raised by one priority,
 * so that a steady load of a more urgent kind does not starve the next one.
 */
export function orderWaiting(
    { waiting, inProgress }: Pick<WaitQueue, "waiting" | "inProgress">,
    now: Millis,
): readonly WaitingRequest[] {
    return waiting.toSorted((a, b) =>
        priorityAt(a, now) - priorityAt(b, now)
        || (inProgress.get(a.organisation) ?? 0) - (inProgress.get(b.organisation) ?? 0)
        || a.inTimeUntil - b.inTimeUntil
    );
}
