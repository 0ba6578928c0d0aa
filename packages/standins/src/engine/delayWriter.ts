import type { Clock } from "../common/Clock.js";
import type { AnswerWriter } from "./AnswerWriter.js";

/** Delays all parts of an answer. The delay is the same for each part, so they stay in order. */
export function delayWriter(writer: AnswerWriter, clock: Clock, delayMs: number): AnswerWriter {
    const schedule = (callback: () => void): void => {
        clock.after(delayMs, callback);
    };
    return delayMs === 0 ? writer : {
        started: cachedTokens => schedule(() => writer.started(cachedTokens)),
        token: (position, last) => schedule(() => writer.token(position, last)),
    };
}
