import { once } from "node:events";
import type { ServerResponse } from "node:http";

import type { Call } from "../ports/Call.js";
import type { ModelCall } from "../ports/ModelCall.js";
import type { EngineChunk } from "./EngineChunk.js";
import type { ModelAnswer } from "./ModelAnswer.js";

const MILLIS_PER_SECOND = 1_000;
/** Time after which a caller that reads nothing is disconnected. */
const MAX_STALL_MS = 60_000;
const CHAT_PATH = "/v1/chat/completions";

const textOf = (chunk: EngineChunk): string => chunk.choices[0]?.delta?.content ?? chunk.choices[0]?.text ?? "";
const usageOf = (target: ModelCall, tokens: number) => ({
    prompt_tokens: target.promptTokens,
    completion_tokens: tokens,
    total_tokens: target.promptTokens + tokens,
});

/**
 * Waits until the response's write buffer is empty.
 *
 * A caller may stop reading for good while its connection stays open. Symptom: streams that never end and occupy an
 * endpoint. To prevent this, the connection is destroyed after `MAX_STALL_MS`, which cancels the request.
 */
async function waitForDrain(res: ServerResponse, call: Call): Promise<void> {
    const timer = setTimeout(() => res.destroy(), MAX_STALL_MS);
    await once(res, "drain", { signal: call.signal }).catch(() => undefined);
    clearTimeout(timer);
}

/** Creates an answer that is forwarded as server-sent events. */
function streamedAnswer(call: Call, target: ModelCall, res: ServerResponse, created: number): ModelAnswer {
    const isChat = target.path === CHAT_PATH;
    const begin = (): void => {
        if (!res.headersSent) {
            res.writeHead(200, {
                "content-type": "text/event-stream",
                "cache-control": "no-store",
                "x-request-id": call.id,
            });
        }
    };
    const write = async (chunk: EngineChunk): Promise<void> => {
        begin();
        const finish = chunk.choices[0]?.finish_reason ?? null;
        const choice = isChat
            ? { index: 0, delta: { content: textOf(chunk) }, finish_reason: finish }
            : { index: 0, text: textOf(chunk), finish_reason: finish };
        const event = {
            id: call.id,
            object: isChat ? "chat.completion.chunk" : "text_completion",
            created,
            model: target.model,
            position: chunk.position,
            choices: [choice],
            ...finish === null ? {} : { usage: usageOf(target, chunk.position + 1) },
        };
        if (!res.write(`data: ${JSON.stringify(event)}\n\n`)) {
            await waitForDrain(res, call);
        }
    };
    const complete = (): void => {
        begin();
        res.end("data: [DONE]\n\n");
    };
    return { write, complete };
}

/** Creates an answer that is collected and sent as one body. */
function collectedAnswer(call: Call, target: ModelCall, res: ServerResponse, created: number): ModelAnswer {
    const pieces: EngineChunk[] = [];
    const write = (chunk: EngineChunk): Promise<void> => {
        pieces.push(chunk);
        return Promise.resolve();
    };
    const complete = (): void => {
        const text = pieces.map(textOf).join("");
        const finish = pieces.at(-1)?.choices[0]?.finish_reason ?? "stop";
        const isChat = target.path === CHAT_PATH;
        const choice = isChat
            ? { index: 0, message: { role: "assistant", content: text }, finish_reason: finish }
            : { index: 0, text, finish_reason: finish };
        res.writeHead(200, { "content-type": "application/json", "x-request-id": call.id });
        res.end(JSON.stringify({
            id: call.id,
            object: isChat ? "chat.completion" : "text_completion",
            created,
            model: target.model,
            choices: [choice],
            usage: usageOf(target, pieces.length),
        }));
    };
    return { write, complete };
}

/**
 * Creates the answer to the caller, streamed or as one body, as the call requests.
 *
 * @param epochMs creation time of the answer in milliseconds since the epoch
 */
export function createModelAnswer(call: Call, target: ModelCall, res: ServerResponse, epochMs: number): ModelAnswer {
    const created = Math.floor(epochMs / MILLIS_PER_SECOND);
    return target.stream
        ? streamedAnswer(call, target, res, created)
        : collectedAnswer(call, target, res, created);
}
