import type { AppendBudget } from "./AppendBudget.js";

const WINDOW_MS = 1_000;

/**
 * Takes one append from the budget of the current second.
 *
 * @returns undefined when the second's appends are used up
 */
export function spendAppend(budget: AppendBudget, perSecond: number, now: number): AppendBudget | undefined {
    const current = now - budget.since < WINDOW_MS ? budget : { since: now, used: 0 };
    return current.used < perSecond ? { since: current.since, used: current.used + 1 } : undefined;
}
