import type { Millis } from "@azureshunt/core";

import type { AnswerTimes } from "./AnswerTimes.js";
import { answerWindowMs } from "./answerWindowMs.js";

/** Answers within two windows below which the shortest one says little: a first answer may be slow for another reason. */
const MIN_ANSWERS = 5;

/** Returns the shortest time in which an endpoint has lately answered; 0 if too few have. */
export function shortestAnswer(times: AnswerTimes | undefined, now: Millis): Millis {
    if (times === undefined || now - times.since >= 2 * answerWindowMs) {
        return 0;
    }
    const { current, currentCount, previous, previousCount } = times;
    const isCurrent = now - times.since < answerWindowMs;
    const count = isCurrent ? currentCount + previousCount : currentCount;
    return count < MIN_ANSWERS ? 0 : isCurrent ? Math.min(current, previous) : current;
}
