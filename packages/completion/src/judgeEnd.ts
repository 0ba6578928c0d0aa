import type { AnswerEnd } from "./AnswerEnd.js";
import type { EndVerdict } from "./EndVerdict.js";

/**
 * Judges whether an answer that has ended is whole, by what was seen of it and of its connection.
 *
 * If an endpoint sends further bytes after an answer, its connection fails, often before the answer's end is read. The answer
 * would be lost although all of it has arrived. To prevent this, the connection decides only if it is what ends the answer.
 *
 * An endpoint in trouble may close its side while the request is still being sent, and reset the connection afterwards. The
 * part that it had sent would pass as whole. To prevent this, such an end does not count before the request is sent.
 */
export function judgeEnd({ framing, isParsed, connectionEnd, isRequestSent, isTimeUp }: AnswerEnd): EndVerdict {
    if (!isParsed || (isTimeUp && framing !== "length")) {
        return "cut-off";
    }
    // An answer without a body ends while its connection is open.
    if (framing !== "connection" || connectionEnd === "open") {
        return "whole";
    }
    return connectionEnd === "closed" && isRequestSent ? "unconfirmed" : "cut-off";
}
