import type { AnswerEnd } from "./AnswerEnd.js";
import type { EndVerdict } from "./EndVerdict.js";

/** Judges whether an answer that has ended is whole, by what was seen of it and of its connection. */
export function judgeEnd({ framing, isParsed, connectionEnd, isTimeUp }: AnswerEnd): EndVerdict {
    if (!isParsed || connectionEnd === "failed" || (isTimeUp && framing !== "length")) {
        return "cut-off";
    }
    // An answer without a body ends while its connection is open.
    if (framing !== "connection" || connectionEnd === "open") {
        return "whole";
    }
    return connectionEnd === "reset" ? "cut-off" : "unconfirmed";
}
