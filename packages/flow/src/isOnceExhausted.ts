import { flowLevels } from "./flowLevels.js";

/** An answer that is not read any more holds one read in this VM and one in Node's buffer; each is 64 KB. */
const MIN_ANSWER_BYTES = 128 * 1024;

/**
 * Returns whether a new request that may not be repeated is refused. Load: callers that read nothing of answers that may
 * not be cut off. If these answers could fill the whole budget, all other requests would be refused.
 *
 * Requests that arrive together hold nothing yet. To prevent that all of them are admitted for the same room, each
 * counts as the least that its answer will hold, once half of the budget is in use.
 *
 * @param held bytes held for each request that may not be repeated
 */
export function isOnceExhausted(held: readonly number[], budget: number): boolean {
    const sumOf = (least: number): number => held.reduce((sum, bytes) => sum + Math.max(least, bytes), 0);
    return sumOf(0) > flowLevels.low * budget && sumOf(MIN_ANSWER_BYTES) > flowLevels.high * budget;
}
