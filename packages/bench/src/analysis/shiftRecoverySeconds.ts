import type { CacheUse } from "./CacheUse.js";

const MS_PER_SECOND = 1_000;
const RECOVERED_FRACTION = 0.9;

const hitRateOf = (uses: readonly CacheUse[]): number | undefined => {
    const prompt = uses.reduce((sum, use) => sum + use.promptTokens, 0);
    const cached = uses.reduce((sum, use) => sum + use.cachedTokens, 0);
    return prompt === 0 ? undefined : cached / prompt;
};

/**
 * Returns the time until the hit rate recovered after the hot prefixes shifted, in whole seconds.
 *
 * @param uses runs since the shift
 * @param shiftedAt milliseconds since the epoch
 * @returns the end of the first second with a recovered hit rate; `undefined` if there is none
 */
export function shiftRecoverySeconds(
    uses: readonly CacheUse[],
    shiftedAt: number,
    steadyHitRate: number,
): number | undefined {
    const last = Math.max(...uses.map(({ at }) => at), shiftedAt);
    const seconds = Math.ceil((last - shiftedAt) / MS_PER_SECOND);
    const recovered = Array.from({ length: seconds }, (_, i) => i).find(second => {
        const from = shiftedAt + second * MS_PER_SECOND;
        const rate = hitRateOf(uses.filter(({ at }) => at >= from && at < from + MS_PER_SECOND));
        return rate !== undefined && rate >= RECOVERED_FRACTION * steadyHitRate;
    });
    return recovered === undefined ? undefined : recovered + 1;
}
