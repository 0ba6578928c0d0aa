import type { GroupShare } from "./GroupShare.js";
import { loadTiming } from "./loadTiming.js";
import type { PriorityLoad } from "./PriorityLoad.js";
import { shareLevel } from "./shareLevel.js";
import { shareTiming } from "./shareTiming.js";

/**
 * Returns up to what each group at one priority is admitted if a fraction of its requests must be refused. Load: one
 * organisation sends many times its rate, and the others would be refused for it.
 *
 * Each group is admitted up to an equal share, and only what exceeds it is refused.
 */
export function shareOf(recents: PriorityLoad["recents"], refusedFraction: number): GroupShare {
    const admittedFraction = 1 - refusedFraction;
    const minFraction = Math.max(loadTiming.minAdmitted, admittedFraction * shareTiming.minServedRatio);
    const counts = [...recents.values()];
    const admitted = admittedFraction * counts.reduce((sum, recent) => sum + recent, 0);
    return { level: shareLevel(counts, admitted, minFraction), minFraction };
}
