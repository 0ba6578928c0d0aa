import type { Millis } from "@azureshunt/core";

import type { StartEstimate } from "./StartEstimate.js";

/** Part of its objective within which the first token of a request of the most urgent kind has to come. */
const URGENT_PART = 1.2;
/** The same for less urgent kinds: they make room first, so that they never push out what is more urgent. */
const OTHER_PART = 0.8;
/** Part of its objective for which a request may wait for its turn, however long its own prompt takes to read. */
const LEAST_QUEUE_PART = 0.15;

/** What is asked before a request is sent to an engine. */
type OverloadQuestion = StartEstimate & {
    readonly objectiveMs: Millis;
    /** Whether no other kind of request of the service is more urgent. */
    readonly isUrgent: boolean;
};

/**
 * Decides whether engines have room for a request now.
 *
 * Load: engines crash or take new weights while callers send at full rate. If everything is let in, engines' memory fills
 * with waiting prompts, cached parts are pushed out and read again, and all answers come late for as long as the load
 * lasts. Whatever would come late anyway is turned away at once, so that the rest stays in time and the queues drain. A
 * large prompt that finds an engine nearly idle is read, however long that takes; turned away each time, it would never be.
 *
 * @returns undefined where there is room; else after how many milliseconds there will be, if the load stays as it is
 */
export function overloadWait({ queueMs, startMs, objectiveMs, isUrgent }: OverloadQuestion): Millis | undefined {
    const ownMs = startMs - queueMs;
    const inTime = objectiveMs * (isUrgent ? URGENT_PART : OTHER_PART) - ownMs;
    const limit = Math.max(inTime, objectiveMs * LEAST_QUEUE_PART);
    return queueMs > limit ? queueMs - limit : undefined;
}
