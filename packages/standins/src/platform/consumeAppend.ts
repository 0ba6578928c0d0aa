import type { AppendBudget } from "./AppendBudget.js";

const WINDOW_MS = 1_000;

/**
 * Counts one append against the limit of the current one-second window.
 *
 * @returns the new budget; `undefined` if the window's appends are used up
 */
export function consumeAppend(budget: AppendBudget, perSecond: number, now: number): AppendBudget | undefined {
    const current = now - budget.since < WINDOW_MS ? budget : { since: now, used: 0 };
    return current.used < perSecond ? { since: current.since, used: current.used + 1 } : undefined;
}
