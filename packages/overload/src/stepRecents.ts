import type { Millis } from "@azureshunt/core";

import type { KindArrivals } from "./KindArrivals.js";
import { loadTiming } from "./loadTiming.js";
import type { PriorityLoad } from "./PriorityLoad.js";
import { restGroup } from "./restGroup.js";
import { shareTiming } from "./shareTiming.js";

/**
 * Returns the recent requests of the groups at one priority after a tick. Load: more organisations send than are
 * distinguished. Those with the most recent requests are kept, so that one which sends far more than the others has a
 * group of its own.
 *
 * @param arrivals requests of this priority
 */
export function stepRecents(
    before: PriorityLoad["recents"],
    arrivals: readonly KindArrivals[],
    elapsedMs: Millis,
): PriorityLoad["recents"] {
    const decay = Math.exp(-elapsedMs / loadTiming.recentMs);
    const recents = new Map(before);
    before.forEach((recent, group) => recents.set(group, recent * decay));
    arrivals.forEach(({ organisation, count }) => recents.set(organisation, (recents.get(organisation) ?? 0) + count));
    recents.forEach((recent, group) => recent > shareTiming.minRecent || recents.delete(group));
    const rest = recents.get(restGroup) ?? 0;
    recents.delete(restGroup);
    const dropped = recents.size > shareTiming.maxGroups
        ? [...recents].sort(([, a], [, b]) => b - a).slice(shareTiming.maxGroups)
        : [];
    dropped.forEach(([group]) => recents.delete(group));
    const restAfter = dropped.reduce((sum, [, recent]) => sum + recent, rest);
    return restAfter > 0 ? recents.set(restGroup, restAfter) : recents;
}
