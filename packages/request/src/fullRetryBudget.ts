import type { RetryBudget } from "./RetryBudget.js";

/**
 * Creates a retry budget that holds all its tokens.
 *
 * @param capacity retries possible at once, for example when an endpoint with many streams dies
 * @param perRequest retries per request on average
 */
export function fullRetryBudget(capacity: number, perRequest: number): RetryBudget {
    return { balance: capacity, capacity, perRequest };
}
