import type { Millis } from "@azureshunt/core";

import type { AnswerTimes } from "./AnswerTimes.js";
import { answerWindowMs } from "./answerWindowMs.js";

/** Records how long an endpoint took to answer a request of a kind. */
export function recordAnswer(times: AnswerTimes | undefined, answerMs: Millis, now: Millis): AnswerTimes {
    if (times === undefined || now - times.since >= 2 * answerWindowMs) {
        return { since: now, current: answerMs, currentCount: 1, previous: Infinity, previousCount: 0 };
    }
    const { current, currentCount } = times;
    return now - times.since >= answerWindowMs
        ? { since: now, current: answerMs, currentCount: 1, previous: current, previousCount: currentCount }
        : { ...times, current: Math.min(current, answerMs), currentCount: currentCount + 1 };
}
