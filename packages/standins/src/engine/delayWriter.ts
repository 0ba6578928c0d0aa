import type { Clock } from "../common/Clock.js";
import type { AnswerWriter } from "./AnswerWriter.js";

/** Makes all parts of an answer late. The delay is the same for each, so they stay in order. */
export function delayWriter(writer: AnswerWriter, clock: Clock, delayMs: number): AnswerWriter {
    const later = (act: () => void): void => {
        clock.after(delayMs, act);
    };
    return delayMs === 0 ? writer : {
        started: cachedTokens => later(() => writer.started(cachedTokens)),
        token: (position, last) => later(() => writer.token(position, last)),
    };
}
