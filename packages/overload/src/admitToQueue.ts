import type { Millis } from "@azureshunt/core";

import type { WaitingRequest } from "./WaitingRequest.js";
import type { WaitRequest } from "./WaitRequest.js";
import { waitTiming } from "./waitTiming.js";

/**
 * Returns a request as it waits; `undefined` if the predicted delay leaves it no time. It may wait for what is left of
 * its objective without its own predicted start, and for a third of the time to its deadline when it first asked.
 */
export function admitToQueue(request: WaitRequest, now: Millis): WaitingRequest | undefined {
    const { id, priority, organisation, arrivedAt, objectiveMs, ownMs, deadline, delayMs, earlier } = request;
    const inTimeUntil = arrivedAt + objectiveMs - ownMs;
    const leaveAt = Math.min(inTimeUntil, earlier?.leaveAt ?? now + (deadline - now) * waitTiming.timeLeftShare);
    return now + delayMs >= leaveAt ? undefined : {
        id,
        priority,
        organisation,
        inTimeUntil,
        since: earlier?.since ?? now,
        leaveAt,
        notBefore: now + waitTiming.minRetryMs,
        roomAt: now + Math.max(delayMs, waitTiming.minRetryMs),
    };
}
