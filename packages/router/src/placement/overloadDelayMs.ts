import type { Millis } from "@azureshunt/core";

import type { StartEstimate } from "./StartEstimate.js";

/** Fraction of its objective within which the first token of a request of the most urgent kind must arrive. */
const URGENT_FRACTION = 1.2;
/** The same for less urgent kinds. Lower, so that they are refused first and never displace more urgent requests. */
const OTHER_FRACTION = 0.8;
/**
 * The same for less urgent kinds of an organisation over its share, in the proportion of the two above. Requests of the
 * most urgent kind of such an organisation get the fraction of less urgent kinds.
 */
const OVER_SHARE_FRACTION = OTHER_FRACTION * OTHER_FRACTION / URGENT_FRACTION;
/** Fraction of its objective that a request may always spend in the queue, however long its own prefill takes. */
const MIN_QUEUE_FRACTION = 0.15;

type OverloadInputs = Pick<StartEstimate, "queueMs" | "startMs"> & {
    readonly objectiveMs: Millis;
    /** Whether no other kind of request of the service is more urgent. */
    readonly isUrgent: boolean;
    /** Whether its organisation has more than its share of the requests in progress while the service refuses some. */
    readonly isOverShare?: boolean;
};

const fractionOf = (isUrgent: boolean, isOverShare: boolean): number =>
    isUrgent && !isOverShare ? URGENT_FRACTION : isUrgent || !isOverShare ? OTHER_FRACTION : OVER_SHARE_FRACTION;

/**
 * Decides whether engines have room for a request now.
 *
 * Engines may crash or load new weights while callers send at full rate. If every request were admitted, waiting
 * prompts would fill the engines' memory, cached parts would be evicted and prefilled again, and all answers would be
 * late for as long as the load lasts. So requests that would be late anyway are refused at once; the others stay in
 * time and the queues drain. A large prompt is admitted by a nearly idle engine however long its prefill takes, as it
 * would otherwise be refused every time.
 *
 * @returns undefined if there is room; otherwise the overload delay in milliseconds, if the load stays the same
 */
export function overloadDelayMs(
    { queueMs, startMs, objectiveMs, isUrgent, isOverShare = false }: OverloadInputs,
): Millis | undefined {
    const ownMs = startMs - queueMs;
    const inTimeMs = objectiveMs * fractionOf(isUrgent, isOverShare) - ownMs;
    const limitMs = Math.max(inTimeMs, objectiveMs * MIN_QUEUE_FRACTION);
    return queueMs > limitMs ? queueMs - limitMs : undefined;
}
