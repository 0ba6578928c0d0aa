import type { Spend } from "./Spend.js";

/**
 * Returns the most by which the spending in any interval exceeds burst + rate · length; 0 or less if none exceeds it. A
 * token bucket that starts full and is charged with the same spending falls below zero by exactly this amount.
 */
export function maxExcess(spends: readonly Spend[], rate: number, burst: number): number {
    const sorted = [...spends].sort((a, b) => a.at - b.at);
    const start = { level: burst, at: sorted[0]?.at ?? 0, over: -Infinity };
    return sorted.reduce((sofar, spend) => {
        const filled = Math.min(burst, sofar.level + rate * (spend.at - sofar.at) / 1_000);
        const level = filled - spend.tokens;
        return { level, at: spend.at, over: Math.max(sofar.over, -level) };
    }, start).over;
}
