import type { AnswerEnd } from "./AnswerEnd.js";
import type { EndVerdict } from "./EndVerdict.js";

/**
 * Judges whether an answer that has ended is whole, by what was seen of it and of its connection.
 *
 * If an endpoint sends further bytes after an answer, its connection fails, often before the answer's end is read. The answer
 * would be lost although all of it has arrived. To prevent this, the connection decides only if it is what ends the answer.
 */
export function judgeEnd({ framing, isParsed, connectionEnd, isTimeUp }: AnswerEnd): EndVerdict {
    if (!isParsed || (isTimeUp && framing !== "length")) {
        return "cut-off";
    }
    // An answer without a body ends while its connection is open.
    if (framing !== "connection" || connectionEnd === "open") {
        return "whole";
    }
    return connectionEnd === "closed" ? "unconfirmed" : "cut-off";
}
