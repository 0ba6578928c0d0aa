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
    /** Time for which the request has waited in this VM. */
    readonly waitedMs?: Millis;
    /** Whether more urgent requests wait in this VM. */
    readonly isBehind?: boolean;
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
 * A request that has waited in this VM has to start within its objective, or within what is allowed to its kind on
 * arrival if that is longer. While more urgent requests wait here, a less urgent one has no room at engines with a queue:
 * its longer objective would let it fill them up to a length at which the more urgent ones are refused.
 *
 * @returns undefined if there is room; otherwise the overload delay in milliseconds, if the load stays the same
 */
export function overloadDelayMs(inputs: OverloadInputs): Millis | undefined {
    const { queueMs, startMs, objectiveMs, isUrgent, isOverShare = false, waitedMs = 0, isBehind = false } = inputs;
    const ownMs = startMs - queueMs;
    const fraction = fractionOf(isUrgent, isOverShare);
    const minQueueMs = objectiveMs * MIN_QUEUE_FRACTION;
    const limitMs = Math.max(objectiveMs * fraction - ownMs, minQueueMs);
    const lateMs = waitedMs > 0 ? waitedMs + startMs - objectiveMs * Math.max(1, fraction) : 0;
    if (queueMs > limitMs || lateMs > 0) {
        // A less urgent request that is late has no room in time while the queue lasts, so it does not wait on.
        return Math.max(queueMs - limitMs, lateMs > 0 && !isUrgent ? queueMs : lateMs);
    }
    return isBehind && queueMs > minQueueMs ? 0 : undefined;
}
