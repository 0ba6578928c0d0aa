import { sendJson } from "../common/sendJson.js";
import type { AnswerContext } from "./AnswerContext.js";
import { answerHeaders } from "./answerHeaders.js";
import type { AnswerWriter } from "./AnswerWriter.js";
import { tokenText } from "./tokenText.js";
import { usageOf } from "./usageOf.js";

/** Creates a writer that sends an answer as one JSON body after its last token. */
export function jsonAnswer(context: AnswerContext): AnswerWriter {
    const { res, identity, fault } = context;
    let cached = 0;
    let text = "";

    const send = (tokens: number): void => {
        const finish = context.finishReason;
        const choice = context.chat
            ? { index: 0, message: { role: "assistant", content: text }, finish_reason: finish }
            : { index: 0, text, finish_reason: finish };
        const body = {
            id: identity.dispatchId,
            object: context.chat ? "chat.completion" : "text_completion",
            created: 0,
            model: context.model,
            choices: [choice],
            usage: usageOf(context.promptTokens, tokens, cached),
        };
        sendJson(res, 200, body, answerHeaders(context, cached));
    };
    const token = (position: number, last: boolean): void => {
        text += tokenText(identity.seed, position);
        if (!last || fault.kind === "stall") {
            return;
        }
        if (fault.kind === "cut") {
            res.destroy();
            return;
        }
        send(position + 1);
    };
    return {
        started: cachedTokens => {
            cached = cachedTokens;
        },
        token,
    };
}
