import type { AnswerContext } from "./AnswerContext.js";
import { answerHeaders } from "./answerHeaders.js";
import type { AnswerWriter } from "./AnswerWriter.js";
import { tokenText } from "./tokenText.js";
import { usageOf } from "./usageOf.js";

/** Creates a writer that sends an answer as server-sent events, one per token. */
export function streamAnswer(context: AnswerContext): AnswerWriter {
    const { res, identity, fault } = context;
    let cached = 0;
    let sent = 0;
    let stalled = false;

    const chunk = (position: number, last: boolean): string => {
        const content = tokenText(identity.seed, position);
        const finish = last ? context.finishReason : null;
        const choice = context.chat
            ? { index: 0, delta: { content }, finish_reason: finish }
            : { index: 0, text: content, finish_reason: finish };
        const body = {
            id: identity.dispatchId,
            object: context.chat ? "chat.completion.chunk" : "text_completion",
            created: 0,
            model: context.model,
            position,
            choices: [choice],
            ...last ? { usage: usageOf(context.promptTokens, position + 1, cached) } : {},
        };
        return `data: ${JSON.stringify(body)}\n\n`;
    };
    const copies = (): number => {
        if (sent !== fault.at) {
            return 1;
        }
        return fault.kind === "skip" ? 0 : fault.kind === "repeat" ? 2 : 1;
    };
    const started = (cachedTokens: number): void => {
        cached = cachedTokens;
        res.writeHead(200, {
            ...answerHeaders(context, cachedTokens),
            "content-type": "text/event-stream",
            "cache-control": "no-cache",
        });
        res.flushHeaders();
    };
    const token = (position: number, last: boolean): void => {
        if (fault.kind === "cut" && sent === fault.at) {
            res.destroy();
            return;
        }
        stalled = stalled || (fault.kind === "stall" && sent === fault.at);
        if (stalled) {
            return;
        }
        res.write(chunk(position, last).repeat(copies()));
        sent += 1;
        if (last) {
            res.end("data: [DONE]\n\n");
        }
    };
    return { started, token };
}
