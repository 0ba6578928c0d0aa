import type { Spend } from "./Spend.js";

/**
 * The most by which any interval's spending exceeds burst + rate · length; 0 or less when it keeps to it. A token bucket
 * that starts full and is spent from the same way goes below zero by just that.
 */
export function mostOver(spends: readonly Spend[], rate: number, burst: number): number {
    const sorted = [...spends].sort((a, b) => a.at - b.at);
    const start = { level: burst, at: sorted[0]?.at ?? 0, over: -Infinity };
    return sorted.reduce((sofar, spend) => {
        const filled = Math.min(burst, sofar.level + rate * (spend.at - sofar.at) / 1_000);
        const level = filled - spend.tokens;
        return { level, at: spend.at, over: Math.max(sofar.over, -level) };
    }, start).over;
}
