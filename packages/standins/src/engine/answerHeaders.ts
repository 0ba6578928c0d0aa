import type { AnswerContext } from "./AnswerContext.js";

/** Returns the headers that are on the answer to every request that ran. */
export function answerHeaders(context: AnswerContext, cachedTokens: number): Readonly<Record<string, string>> {
    return {
        "x-dispatch-id": context.identity.dispatchId,
        "x-incarnation": context.incarnation,
        "x-cached-tokens": String(cachedTokens),
    };
}
