import type { Millis } from "@azureshunt/core";

/** Time after which answers that stay unread are cut off if the memory is used up, so that there may be room. */
const MEMORY_RETRY_AFTER_SECONDS = 0.25;
/** A caller that came back later than this fraction of its time would have too little left for its answer. */
const RETRY_TIME_FRACTION = 1 / 3;
const MS_PER_SECOND = 1_000;

/** Returns after how many seconds the caller of a request that is refused for memory is to come back. */
export function memoryRetryAfterSeconds(timeLeftMs: Millis): number {
    return Math.min(MEMORY_RETRY_AFTER_SECONDS, Math.max(0, timeLeftMs) * RETRY_TIME_FRACTION / MS_PER_SECOND);
}
