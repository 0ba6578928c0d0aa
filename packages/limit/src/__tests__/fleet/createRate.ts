import type { Millis } from "@azureshunt/core";

const MS_PER_SECOND = 1_000;

/** Rate of events a second, as an exponentially decaying average. */
export function createRate(windowMs: Millis) {
    const state = { rate: 0, at: 0 };
    const decay = (now: Millis): void => {
        state.rate *= Math.exp(-(now - state.at) / windowMs);
        state.at = now;
    };
    return {
        record: (now: Millis): void => {
            decay(now);
            state.rate += MS_PER_SECOND / windowMs;
        },
        perSecond: (now: Millis): number => {
            decay(now);
            return state.rate;
        },
    };
}
