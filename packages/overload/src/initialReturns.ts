import type { Millis } from "@azureshunt/core";

import type { ReturnSchedule } from "./ReturnSchedule.js";

/** Returns the schedule of a service from which nobody was refused. */
export function initialReturns(now: Millis): ReturnSchedule {
    return { at: now, recentlySent: 0, returning: [] };
}
