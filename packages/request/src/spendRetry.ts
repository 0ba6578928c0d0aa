import type { RetryBudget } from "./RetryBudget.js";

const ONE_TRY = 1;

/**
 * Takes the token for one retry.
 *
 * If a failure domain dies and each of its requests is retried repeatedly, the load on the remaining endpoints
 * multiplies and they fail as well. To prevent this, the budget limits retries to a given fraction of the requests.
 *
 * @returns the budget without the token, or `undefined` if none is left
 */
export function spendRetry(budget: RetryBudget): RetryBudget | undefined {
    return budget.balance >= ONE_TRY ? { ...budget, balance: budget.balance - ONE_TRY } : undefined;
}
