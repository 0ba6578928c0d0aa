import type { Millis } from "@azureshunt/core";

import type { StreamPace } from "./StreamPace.js";

/** Measures a stream's pace, to show whether a late event waited at its endpoint or in this VM. */
export function createStreamPace(now: () => Millis): StreamPace {
    const pace = { lastAt: undefined as Millis | undefined, gapMs: 0, sendMs: 0 };
    return {
        startSend: () => {
            const at = now();
            pace.gapMs = Math.max(pace.gapMs, at - (pace.lastAt ?? at));
            pace.lastAt = at;
            return () => {
                pace.sendMs = Math.max(pace.sendMs, now() - at);
            };
        },
        maxGapMs: () => pace.gapMs,
        maxSendMs: () => pace.sendMs,
    };
}
