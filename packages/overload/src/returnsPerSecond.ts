import type { ReturnSchedule } from "./ReturnSchedule.js";
import { returnTiming } from "./returnTiming.js";

const MS_PER_SECOND = 1_000;

/** Returns how many returning callers a service can take per second. */
export function returnsPerSecond({ recentlySent }: Pick<ReturnSchedule, "recentlySent">): number {
    const sentPerSecond = recentlySent * MS_PER_SECOND / returnTiming.recentMs;
    return Math.max(returnTiming.minPerSecond, sentPerSecond * returnTiming.returningShare);
}
