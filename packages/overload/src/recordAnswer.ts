import type { Millis } from "@azureshunt/core";

import type { AnswerTimes } from "./AnswerTimes.js";
import { answerWindowMs } from "./answerWindowMs.js";

/** Records how long an endpoint took to answer a request of a kind. */
export function recordAnswer(times: AnswerTimes | undefined, answerMs: Millis, now: Millis): AnswerTimes {
    if (times === undefined || now - times.since >= 2 * answerWindowMs) {
        return { since: now, current: answerMs, previous: Infinity, count: 1 };
    }
    const count = times.count + 1;
    return now - times.since >= answerWindowMs
        ? { since: now, current: answerMs, previous: times.current, count }
        : { ...times, current: Math.min(times.current, answerMs), count };
}
