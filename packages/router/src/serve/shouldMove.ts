import type { Tokens } from "@azureshunt/core";

/** Prompt tokens that an engine reads in the time in which it makes one token of an answer: 60 a millisecond, 10 ms each. */
const READ_PER_MADE = 600;
/** Reading the prompt anew has to cost less than this part of what is left to be made. */
const WORTH_PART = 0.25;
/** Tries that stay in the budget for requests whose engine fails. */
const KEPT_BUDGET = 3;

/** What decides whether a stream goes on at another engine. */
type MoveQuestion = {
    readonly promptTokens: Tokens;
    /** Most tokens of the answer. */
    readonly outputTokens: Tokens;
    readonly passedEvents: number;
    /** Further tries that the service's budget allows now. */
    readonly budget: number;
    /** Other engines of the model that take requests. */
    readonly others: number;
};

/**
 * Decides whether a stream that may be resumed leaves an engine that has been ordered to take new weights.
 *
 * Load: an engine finishes its runs before it takes new weights, and gets no work meanwhile. One long answer keeps it away
 * for 2.5 to 4.5 s where the load itself takes 1.3 s, while the others drown in prompts that they all read anew. A short
 * prompt with much of its answer to come is read again elsewhere in milliseconds.
 *
 * Limit: each move takes one try of the service's budget. A stream whose next try is ruled out would be lost, so the last
 * tries stay for engines that fail; nor does it leave where no other engine takes it.
 */
export function shouldMove({ promptTokens, outputTokens, passedEvents, budget, others }: MoveQuestion): boolean {
    const left = outputTokens - passedEvents;
    return others > 0 && budget >= KEPT_BUDGET && promptTokens < left * READ_PER_MADE * WORTH_PART;
}
