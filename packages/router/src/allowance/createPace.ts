import type { Clock, Millis, Tokens } from "@azureshunt/core";

/** How fast something is asked for. */
type Pace = {
    readonly note: (tokens: Tokens) => void;
    /** Tokens a second, lately. */
    readonly perSecond: () => Tokens;
};

const MS_PER_SECOND = 1_000;
/** Time in which what was asked for counts for less than half. */
const MEMORY_MS: Millis = 1_000;

/** Follows how fast tokens are asked for; older requests count less and less. */
export function createPace(clock: Clock): Pace {
    const pace = { tokens: 0, at: clock.now() };
    const decay = (): void => {
        const now = clock.now();
        pace.tokens *= Math.exp((pace.at - now) / MEMORY_MS);
        pace.at = now;
    };
    return {
        note: tokens => {
            decay();
            pace.tokens += tokens;
        },
        perSecond: () => {
            decay();
            return pace.tokens * MS_PER_SECOND / MEMORY_MS;
        },
    };
}
