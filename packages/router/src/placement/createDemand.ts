import type { Clock, Millis, Tokens } from "@azureshunt/core";

/** Rate of prompt tokens that callers send to this VM. */
type Demand = {
    readonly record: (tokens: Tokens) => void;
    /** Prompt tokens per millisecond over the last seconds. */
    readonly rate: () => Tokens;
};

/** Long enough to smooth out single large prompts, short enough to follow a burst. */
const WINDOW_MS: Millis = 2_000;

/**
 * Measures demand as an exponentially decaying average.
 *
 * @param windowMs time constant of the decay
 */
export function createDemand(clock: Clock, windowMs: Millis = WINDOW_MS): Demand {
    const state = { rate: 0, at: clock.now() };
    const decay = (): number => {
        const now = clock.now();
        state.rate *= Math.exp(-(now - state.at) / windowMs);
        state.at = now;
        return state.rate;
    };
    return {
        record: tokens => {
            state.rate = decay() + tokens / windowMs;
        },
        rate: decay,
    };
}
