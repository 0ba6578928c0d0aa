import type { RetryBudget } from "./RetryBudget.js";

/** Adds what one arriving request brings. */
export function earnRetry(budget: RetryBudget): RetryBudget {
    return { ...budget, balance: Math.min(budget.capacity, budget.balance + budget.perRequest) };
}
