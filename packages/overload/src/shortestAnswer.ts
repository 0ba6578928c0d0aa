import type { Millis } from "@azureshunt/core";

import type { AnswerTimes } from "./AnswerTimes.js";
import { answerWindowMs } from "./answerWindowMs.js";

/** Answers below which the shortest one says little: a first answer may be slow for another reason. */
const MIN_ANSWERS = 5;

/** Returns the shortest time in which an endpoint has lately answered; 0 if too few have. */
export function shortestAnswer(times: AnswerTimes | undefined, now: Millis): Millis {
    if (times === undefined || times.count < MIN_ANSWERS || now - times.since >= 2 * answerWindowMs) {
        return 0;
    }
    const shortest = now - times.since < answerWindowMs
        ? Math.min(times.current, times.previous)
        : times.current;
    return shortest === Infinity ? 0 : shortest;
}
