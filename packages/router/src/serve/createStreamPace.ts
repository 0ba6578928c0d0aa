import type { Millis } from "@azureshunt/core";

import type { CallerOutput } from "./CallerOutput.js";
import type { StreamPace } from "./StreamPace.js";

/** Measures a stream's pace, to show whether a late event waited at its endpoint or in this VM. */
export function createStreamPace({ maxWaitMs }: Pick<CallerOutput, "maxWaitMs">): StreamPace {
    const pace = { lastAt: undefined as Millis | undefined, gapMs: 0 };
    return {
        recordEvents: at => {
            pace.gapMs = Math.max(pace.gapMs, at - (pace.lastAt ?? at));
            pace.lastAt = at;
        },
        lastAt: () => pace.lastAt,
        maxGapMs: () => pace.gapMs,
        maxSendMs: maxWaitMs,
    };
}
