import type { RetryBudget } from "./RetryBudget.js";

/** Adds the fraction of a token that one arriving request earns, up to the capacity. */
export function earnRetry(budget: RetryBudget): RetryBudget {
    return { ...budget, balance: Math.min(budget.capacity, budget.balance + budget.perRequest) };
}
