import type { Millis } from "@azureshunt/core";

import { returnTiming } from "./returnTiming.js";
import type { RoomForecast } from "./RoomForecast.js";

const MS_PER_SECOND = 1_000;
/** Part of the longest possible delay over which callers are spread for which there is no room in time: half keeps most from returning early. */
const SPREAD = 0.5;

/**
 * Returns after how many seconds a refused caller is to come back, at most a third of the time that it has left. A caller
 * for which there will be no room by then comes back in the later half of that time, so that all of them spread over it.
 * If it is not known when there is room, none comes back before endpoints may have, as their backoff lasts for a while.
 *
 * @param draw random number, uniform in [0, 1)
 */
export function retryAfterOf(
    { roomInMs, ahead, perSecond }: RoomForecast,
    { timeLeftMs, objectiveMs }: { readonly timeLeftMs: Millis; readonly objectiveMs: Millis; },
    draw: number,
): number {
    const maxMs = Math.min(
        Math.max(0, timeLeftMs) * returnTiming.timeLeftShare,
        Math.max(returnTiming.minSpreadMs, objectiveMs * returnTiming.objectiveShare),
    );
    const turnMs = (roomInMs ?? returnTiming.minSpreadMs) + (ahead + draw) * MS_PER_SECOND / perSecond;
    return (turnMs <= maxMs ? turnMs : maxMs * (1 - SPREAD * draw)) / MS_PER_SECOND;
}
