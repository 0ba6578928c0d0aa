import type { RetryBudget } from "./RetryBudget.js";

/**
 * A budget with all its tokens there.
 *
 * @param capacity tries that may come at once, such as when one endpoint with many streams dies
 * @param perRequest tries for each request in the long run
 */
export function fullRetryBudget(capacity: number, perRequest: number): RetryBudget {
    return { balance: capacity, capacity, perRequest };
}
