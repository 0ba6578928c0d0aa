import type { CacheUse } from "./CacheUse.js";

const MS_PER_SECOND = 1_000;
const RECOVERED_PART = 0.9;

const hitRateOf = (uses: readonly CacheUse[]): number | undefined => {
    const prompt = uses.reduce((sum, use) => sum + use.promptTokens, 0);
    const cached = uses.reduce((sum, use) => sum + use.cachedTokens, 0);
    return prompt === 0 ? undefined : cached / prompt;
};

/**
 * Finds how long the hit rate took to come back after the hot prefixes shifted, in steps of a second.
 *
 * @param uses runs from the shift on
 * @param shiftedAt milliseconds since the epoch
 * @returns the end of the first second whose hit rate was back; undefined when none was
 */
export function shiftRecovery(
    uses: readonly CacheUse[],
    shiftedAt: number,
    steadyHitRate: number,
): number | undefined {
    const last = Math.max(...uses.map(({ at }) => at), shiftedAt);
    const seconds = Math.ceil((last - shiftedAt) / MS_PER_SECOND);
    const back = Array.from({ length: seconds }, (_, i) => i).find(second => {
        const from = shiftedAt + second * MS_PER_SECOND;
        const rate = hitRateOf(uses.filter(({ at }) => at >= from && at < from + MS_PER_SECOND));
        return rate !== undefined && rate >= RECOVERED_PART * steadyHitRate;
    });
    return back === undefined ? undefined : back + 1;
}
