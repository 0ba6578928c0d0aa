import { once } from "node:events";
import type { ServerResponse } from "node:http";

import type { Call } from "../ports/Call.js";
import type { ModelCall } from "../ports/ModelCall.js";
import type { EngineChunk } from "./EngineChunk.js";
import type { ModelAnswer } from "./ModelAnswer.js";

const MILLIS_PER_SECOND = 1_000;
/** A caller that takes nothing for this long is taken for gone. */
const STALLED_MS = 60_000;
const CHAT_PATH = "/v1/chat/completions";

const textOf = (chunk: EngineChunk): string => chunk.choices[0]?.delta?.content ?? chunk.choices[0]?.text ?? "";
const usageOf = (target: ModelCall, tokens: number) => ({
    prompt_tokens: target.promptTokens,
    completion_tokens: tokens,
    total_tokens: target.promptTokens + tokens,
});

/**
 * Waits until the caller has read what was written.
 *
 * Failure: a caller stops reading for good while its connection stays open; it shows as streams that never end and hold
 * an endpoint's place. Guard: after a bound the connection is destroyed, which cancels the request.
 */
async function untilDrained(res: ServerResponse, call: Call): Promise<void> {
    const timer = setTimeout(() => res.destroy(), STALLED_MS);
    await once(res, "drain", { signal: call.signal }).catch(() => undefined);
    clearTimeout(timer);
}

/** Passes an answer on as a stream of server-sent events. */
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
    const piece = async (chunk: EngineChunk): Promise<void> => {
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
            await untilDrained(res, call);
        }
    };
    const complete = (): void => {
        begin();
        res.end("data: [DONE]\n\n");
    };
    return { piece, complete };
}

/** Collects an answer and sends it as one body. */
function collectedAnswer(call: Call, target: ModelCall, res: ServerResponse, created: number): ModelAnswer {
    const pieces: EngineChunk[] = [];
    const piece = (chunk: EngineChunk): Promise<void> => {
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
    return { piece, complete };
}

/**
 * Makes what takes an engine's answer to the caller, streamed or as one body, as the caller asked.
 *
 * @param epochMs time of the answer in milliseconds since the epoch
 */
export function createModelAnswer(call: Call, target: ModelCall, res: ServerResponse, epochMs: number): ModelAnswer {
    const created = Math.floor(epochMs / MILLIS_PER_SECOND);
    return target.stream
        ? streamedAnswer(call, target, res, created)
        : collectedAnswer(call, target, res, created);
}
