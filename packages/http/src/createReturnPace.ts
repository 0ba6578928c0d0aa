import type { Millis } from "@azureshunt/core";

type PaceParts = {
    /** A clock that only goes forward. */
    readonly now: () => Millis;
    /** Bounds of the time that a place takes to become free. */
    readonly minGapMs: Millis;
    readonly maxGapMs: Millis;
};

/** When refused callers are to return. */
type ReturnPace = {
    /** Records that a place has become free. */
    readonly recordPlace: () => void;
    /** Returns after what time the next refused caller is to come back, a later one for each. */
    readonly nextReturnMs: () => Millis;
};

/** Callers may have little time. */
const MIN_RETURN_MS: Millis = 250;
const MAX_RETURN_MS: Millis = 5_000;
/** Part of the latest gap in the mean. */
const LATEST_PART = 0.05;

/** Creates the pace at which refused callers return: one after another, as places become free. */
export function createReturnPace({ now, minGapMs, maxGapMs }: PaceParts): ReturnPace {
    const state = {
        placeAt: now(),
        /** Mean time between two places that become free. */
        gapMs: minGapMs,
        /** When the refused caller that was told the latest time returns. */
        returnAt: -Infinity,
    };
    return {
        recordPlace: () => {
            const placeAt = now();
            const latestMs = Math.min(maxGapMs, Math.max(minGapMs, placeAt - state.placeAt));
            state.gapMs += LATEST_PART * (latestMs - state.gapMs);
            state.placeAt = placeAt;
        },
        nextReturnMs: () => {
            const from = now();
            const next = Math.max(from + MIN_RETURN_MS, state.returnAt + state.gapMs);
            state.returnAt = Math.min(from + MAX_RETURN_MS, next);
            return state.returnAt - from;
        },
    };
}
