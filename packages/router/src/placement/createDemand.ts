import type { Clock, Tokens } from "@azureshunt/core";

/** Prompt tokens that callers send to this VM. */
type Demand = {
    readonly note: (tokens: Tokens) => void;
    /** Tokens a millisecond, over the last seconds. */
    readonly rate: () => Tokens;
};

/** Over which the rate is averaged: long enough for single large prompts, short enough for a burst. */
const WINDOW_MS = 2_000;

/** Measures the demand as a moving average that fades with time. */
export function createDemand(clock: Clock): Demand {
    const state = { rate: 0, at: clock.now() };
    const fade = (): number => {
        const now = clock.now();
        state.rate *= Math.exp(-(now - state.at) / WINDOW_MS);
        state.at = now;
        return state.rate;
    };
    return {
        note: tokens => {
            state.rate = fade() + tokens / WINDOW_MS;
        },
        rate: fade,
    };
}
