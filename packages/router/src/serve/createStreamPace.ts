import type { Millis } from "@azureshunt/core";

import type { StreamPace } from "./StreamPace.js";

/** Measures a stream's pace, so that a late event is found to have waited at its endpoint or in this VM. */
export function createStreamPace(now: () => Millis): StreamPace {
    const pace = { lastAt: undefined as Millis | undefined, pauseMs: 0, sendMs: 0 };
    return {
        passing: () => {
            const at = now();
            pace.pauseMs = Math.max(pace.pauseMs, at - (pace.lastAt ?? at));
            pace.lastAt = at;
            return () => {
                pace.sendMs = Math.max(pace.sendMs, now() - at);
            };
        },
        longestPauseMs: () => pace.pauseMs,
        longestSendMs: () => pace.sendMs,
    };
}
