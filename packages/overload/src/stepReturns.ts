import type { Millis } from "@azureshunt/core";

import type { ReturnEvent } from "./ReturnEvent.js";
import type { ReturnSchedule } from "./ReturnSchedule.js";
import { returnsPerSecond } from "./returnsPerSecond.js";
import { returnTiming } from "./returnTiming.js";

const MS_PER_SECOND = 1_000;

/** Returns those that are still to come back after some have, the most urgent first. */
const remainingAfter = (returning: readonly number[], returned: number): readonly number[] => {
    const left = { returned };
    return returning.map(count => {
        const taken = Math.min(count, left.returned);
        left.returned -= taken;
        return count - taken;
    });
};

/**
 * Returns the schedule after a request was sent or refused. Load: more callers are refused at once than can be served
 * when they come back. The number that is kept is bounded, so callers that ignore `Retry-After` do not delay others for
 * longer as their number grows.
 */
export function stepReturns(schedule: ReturnSchedule, event: ReturnEvent, now: Millis): ReturnSchedule {
    const elapsedMs = now - schedule.at;
    const perSecond = returnsPerSecond(schedule);
    const recentlySent = schedule.recentlySent * Math.exp(-elapsedMs / returnTiming.recentMs)
        + (event.kind === "sent" ? 1 : 0);
    const isEmpty = schedule.returning.length === 0;
    const remaining = isEmpty
        ? schedule.returning
        : remainingAfter(schedule.returning, elapsedMs * perSecond / MS_PER_SECOND);
    if (event.kind === "sent") {
        return { at: now, recentlySent, returning: remaining };
    }
    const max = perSecond * returnTiming.maxReturningMs / MS_PER_SECOND;
    const index = Math.min(event.priority, returnTiming.priorities - 1);
    const returning = Array.from(
        { length: Math.max(remaining.length, index + 1) },
        (_, i) => i === index ? Math.min(max, (remaining[i] ?? 0) + 1) : remaining[i] ?? 0,
    );
    return { at: now, recentlySent, returning };
}
