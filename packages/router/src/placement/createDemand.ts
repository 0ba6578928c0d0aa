import type { Clock, Millis, Tokens } from "@azureshunt/core";

/** Prompt tokens that callers send to this VM. */
type Demand = {
    readonly note: (tokens: Tokens) => void;
    /** Tokens a millisecond, over the last seconds. */
    readonly rate: () => Tokens;
};

/** Long enough for single large prompts, short enough for a burst. */
const WINDOW_MS: Millis = 2_000;

/**
 * Measures the demand as a moving average that fades with time.
 *
 * @param windowMs over which it is averaged
 */
export function createDemand(clock: Clock, windowMs: Millis = WINDOW_MS): Demand {
    const state = { rate: 0, at: clock.now() };
    const fade = (): number => {
        const now = clock.now();
        state.rate *= Math.exp(-(now - state.at) / windowMs);
        state.at = now;
        return state.rate;
    };
    return {
        note: tokens => {
            state.rate = fade() + tokens / windowMs;
        },
        rate: fade,
    };
}
