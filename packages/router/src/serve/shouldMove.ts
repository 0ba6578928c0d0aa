import type { Tokens } from "@azureshunt/core";

/**
 * Prompt tokens that an engine prefills in the time in which it generates one token: 60 per millisecond, 10 ms each.
 */
const PREFILL_PER_GENERATED = 600;
/** Prefilling the prompt again must cost less than this fraction of what is left to generate. */
const MAX_PREFILL_FRACTION = 0.25;
/** Retries that stay in the budget for requests whose engine fails. */
const MIN_BUDGET_FOR_MOVE = 3;

/** Inputs of the decision whether a stream continues at another engine. */
type MoveConditions = {
    readonly promptTokens: Tokens;
    /** Maximum number of tokens of the answer. */
    readonly outputTokens: Tokens;
    readonly forwardedEvents: number;
    /** Retries that the service's budget allows now. */
    readonly budget: number;
    /** Slots that seem free at the engine at which the stream would go on. */
    readonly freeSlots: number;
    /** Memory that seems free there beside what the stream needs. */
    readonly freeTokens: Tokens;
};

/**
 * Decides whether a resumable stream leaves an engine that has been ordered to load new weights.
 *
 * An engine finishes its requests before it loads new weights, and gets no new ones meanwhile. One long answer keeps it
 * out of service for 2.5 to 4.5 s although loading itself takes 1.3 s, while the other engines are overloaded with
 * prompts that they all have to prefill again. A short prompt with much of its answer to come is prefilled again
 * elsewhere in milliseconds.
 *
 * Limitation: each move takes one retry of the service's budget. A stream that cannot be retried would be lost, so the
 * last retries are left for engines that fail; and a stream stays if no other engine seems to have room, so that full
 * engines are not asked for places by all streams of an order at once.
 */
export function shouldMove(
    { promptTokens, outputTokens, forwardedEvents, budget, freeSlots, freeTokens }: MoveConditions,
): boolean {
    const leftTokens = outputTokens - forwardedEvents;
    return freeSlots > 0 && freeTokens >= 0 && budget >= MIN_BUDGET_FOR_MOVE &&
        promptTokens < leftTokens * PREFILL_PER_GENERATED * MAX_PREFILL_FRACTION;
}
