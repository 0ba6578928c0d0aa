import type { Millis } from "@azureshunt/core";

/** Time after which answers that stay unread are cut off if the memory is used up, so that there may be room. */
const MEMORY_RETRY_AFTER_SECONDS = 0.25;
/** A caller that came back later than this fraction of its time would have too little left for its answer. */
const RETRY_TIME_FRACTION = 1 / 3;
/** The same if it is known that there is no room before: each try in vain costs a large body. */
const WAIT_TIME_FRACTION = 1 / 2;
const MS_PER_SECOND = 1_000;

/**
 * Returns after how many seconds the caller of a request that is refused for memory is to come back.
 *
 * @param roomInMs time after which there is room, if it is known
 */
export function memoryRetryAfterSeconds(timeLeftMs: Millis, roomInMs?: Millis): number {
    const fraction = roomInMs === undefined ? RETRY_TIME_FRACTION : WAIT_TIME_FRACTION;
    return Math.min(
        Math.max(MEMORY_RETRY_AFTER_SECONDS, (roomInMs ?? 0) / MS_PER_SECOND),
        Math.max(0, timeLeftMs) * fraction / MS_PER_SECOND,
    );
}
