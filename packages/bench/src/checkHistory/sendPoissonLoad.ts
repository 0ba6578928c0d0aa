import { setTimeout as delay } from "node:timers/promises";

import { callHttp } from "../topology/callHttp.js";
import type { DaemonProcess } from "../topology/DaemonProcess.js";
import type { HistoryOutcome } from "./HistoryOutcome.js";

/** Load to send; requests arrive as a Poisson process. */
type PoissonLoad = {
    readonly daemons: readonly DaemonProcess[];
    readonly key: string;
    readonly model: string;
    /** Tokens per second over all daemons. */
    readonly demand: number;
    readonly maxPromptTokens: number;
    readonly outputTokens: number;
    readonly lengthMs: number;
    readonly random: () => number;
};

const BYTES_PER_TOKEN = 4;
const MEAN_PROMPT_FRACTION = 0.5;

const errorCodeOf = (text: string): string | undefined => {
    try {
        return (JSON.parse(text) as { readonly error?: { readonly code?: string; }; }).error?.code;
    }
    catch {
        return undefined;
    }
};

/** Sends chats at random times to random daemons without waiting for earlier answers, and returns every outcome. */
export async function sendPoissonLoad(load: PoissonLoad): Promise<readonly HistoryOutcome[]> {
    const { daemons, key, model, random, outputTokens, maxPromptTokens } = load;
    const startedAt = performance.now();
    const meanMs = 1_000 * (maxPromptTokens * MEAN_PROMPT_FRACTION + outputTokens) / load.demand;

    const send = async (daemon: DaemonProcess, promptTokens: number): Promise<HistoryOutcome> => {
        const at = Date.now();
        const sent = performance.now();
        const content = `${Math.floor(random() * 1e9)} `.repeat(maxPromptTokens).slice(
            0,
            promptTokens * BYTES_PER_TOKEN,
        );
        const answer = await callHttp({
            method: "POST",
            url: `${daemon.caller}/v1/chat/completions`,
            key,
            body: { model, messages: [{ role: "user", content }], max_tokens: outputTokens },
        }).catch(() => undefined);
        const code = answer === undefined || answer.status === 200 ? undefined : errorCodeOf(answer.text);
        return { vm: daemon.vm, at, status: answer?.status, code, latencyMs: performance.now() - sent };
    };
    const sendUntilEnd = async (
        sent: readonly Promise<HistoryOutcome>[],
    ): Promise<readonly Promise<HistoryOutcome>[]> => {
        if (performance.now() - startedAt >= load.lengthMs) {
            return sent;
        }
        await delay(-Math.log(1 - random()) * meanMs);
        const daemon = daemons[Math.floor(random() * daemons.length)];
        const promptTokens = 1 + Math.floor(random() * maxPromptTokens);
        return await sendUntilEnd(daemon === undefined ? sent : [...sent, send(daemon, promptTokens)]);
    };
    return await Promise.all(await sendUntilEnd([]));
}
