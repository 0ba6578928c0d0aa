import type { Millis } from "@azureshunt/core";

import type { ReturnSchedule } from "./ReturnSchedule.js";
import { returnsPerSecond } from "./returnsPerSecond.js";
import { returnTiming } from "./returnTiming.js";
import type { RoomForecast } from "./RoomForecast.js";

/** Returns when there will be room for a returning caller of a kind: after those that are as urgent or more urgent. */
export function forecastRoom(
    schedule: ReturnSchedule,
    priority: number,
    roomInMs: Millis | undefined,
): RoomForecast {
    const ahead = schedule.returning.slice(0, Math.min(priority, returnTiming.priorities - 1) + 1)
        .reduce((sum, count) => sum + count, 0);
    return { roomInMs, ahead, perSecond: returnsPerSecond(schedule) };
}
