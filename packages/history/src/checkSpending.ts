import type { ModelRun } from "./ModelRun.js";
import type { SpendingLimit } from "./SpendingLimit.js";
import type { SpendingResult } from "./SpendingResult.js";

const MS_PER_SECOND = 1_000;

/**
 * Checks an organisation's spending over every interval that begins and ends with a run, directly by the definition:
 * tokens ≤ burst + rate · length. It does not depend on how the daemons count.
 *
 * @param runs histories of all engines, in any order
 * @returns the worst interval; `undefined` if the organisation ran nothing
 */
export function checkSpending(runs: readonly ModelRun[], limit: SpendingLimit): SpendingResult | undefined {
    const spent = runs
        .filter(run => run.organisation === limit.organisation)
        .map(run => ({ at: run.at, tokens: run.promptTokens + limit.outputTokens }))
        .sort((a, b) => a.at - b.at);
    const totals = spent.reduce<number[]>((sums, { tokens }) => [...sums, (sums.at(-1) ?? 0) + tokens], []);
    return spent.reduce<SpendingResult | undefined>((worst, first, i) => {
        const spentBefore = (totals[i] ?? 0) - first.tokens;
        return spent.slice(i).reduce<SpendingResult | undefined>((worstSoFar, last, k) => {
            const tokens = (totals[i + k] ?? 0) - spentBefore;
            const over = tokens - limit.burst - limit.rate * (last.at - first.at) / MS_PER_SECOND;
            return worstSoFar !== undefined && worstSoFar.over >= over
                ? worstSoFar
                : { over, from: first.at, to: last.at, tokens };
        }, worst);
    }, undefined);
}
