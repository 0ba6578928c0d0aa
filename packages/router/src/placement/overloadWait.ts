import type { Millis } from "@azureshunt/core";

/** Part of its objective for which a request of the most urgent kind may wait for its first token. */
const URGENT_PART = 1.2;
/** The same for less urgent kinds: they make room first, so that they never push out what is more urgent. */
const OTHER_PART = 0.8;

/** What is asked before a request is sent to an engine. */
type OverloadQuestion = {
    /** Milliseconds until the first token at the best engine, as estimated. */
    readonly startMs: Millis;
    readonly objectiveMs: Millis;
    /** Whether no other kind of request of the service is more urgent. */
    readonly isUrgent: boolean;
};

/**
 * Decides whether engines have room for a request now.
 *
 * Load: engines crash or take new weights while callers send at full rate. If everything is let in, engines' memory fills
 * with waiting prompts, cached parts are pushed out and read again, and all answers come late for as long as the load
 * lasts. Whatever would come late anyway is turned away at once, so that the rest stays in time and the queues drain.
 *
 * @returns undefined where there is room; else after how many milliseconds there will be, if the load stays as it is
 */
export function overloadWait({ startMs, objectiveMs, isUrgent }: OverloadQuestion): Millis | undefined {
    const limit = objectiveMs * (isUrgent ? URGENT_PART : OTHER_PART);
    return startMs > limit ? startMs - limit : undefined;
}
