import type { Millis } from "@azureshunt/core";

/** When callers that a VM refused may come back, one after the other. */
type ReturnQuery = {
    /** When the last of them may come back. */
    readonly lastAt: Millis;
    /** Requests a second of this VM that the limited endpoints take. */
    readonly perSecond: number;
    /** Uniform in [0, 1). */
    readonly random: number;
};

const MS_PER_SECOND = 1_000;
const MIN_DELAY_MS: Millis = 250;
/** Callers with little time left come back earlier anyway. */
const MAX_DELAY_MS: Millis = 5_000;

/** Returns when the next caller that is refused may come back, so that callers return no faster than endpoints take them. */
export function nextReturn({ lastAt, perSecond, random }: ReturnQuery, now: Millis): Millis {
    const next = Math.max(now + MIN_DELAY_MS, lastAt + MS_PER_SECOND / perSecond);
    // The queue is full: spreads the callers over its later half.
    return next <= now + MAX_DELAY_MS ? next : now + MAX_DELAY_MS * (1 + random) / 2;
}
