import type { RetryBudget } from "./RetryBudget.js";

const ONE_TRY = 1;

/**
 * Takes the token for one further try.
 *
 * Failure guarded against: a failure domain dies and every request for it is tried again and again, so that the load on
 * the remaining endpoints multiplies and they fail too. The budget bounds that load to a stated part of the requests.
 *
 * @returns the budget without the token, or undefined when none is left
 */
export function spendRetry(budget: RetryBudget): RetryBudget | undefined {
    return budget.balance >= ONE_TRY ? { ...budget, balance: budget.balance - ONE_TRY } : undefined;
}
