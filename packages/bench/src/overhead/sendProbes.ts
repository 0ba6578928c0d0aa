import { setTimeout as delay } from "node:timers/promises";

import { Agent } from "undici";

import type { LoadTarget } from "../load/LoadTarget.js";
import { sendModelRequest } from "../load/sendModelRequest.js";
import type { Arrival } from "../workload/Arrival.js";
import type { Workload } from "../workload/Workload.js";
import type { Probe } from "./Probe.js";

const GAP_MS = 40;
const CONNECTIONS = 32;

const arrivalOf = (id: number): Arrival => ({
    id,
    at: 0,
    organisation: "only",
    kind: "short",
    daemon: 0,
    prefix: undefined,
    phase: "probe",
});

/**
 * Sends short requests, one every 40 ms, independent of the results of earlier ones.
 *
 * @param firstLength tokens of the first prompt; each further prompt has one token more
 * @throws Error if an answer is not complete
 */
export async function sendProbes(
    target: LoadTarget,
    workload: Workload,
    count: number,
    firstLength: number,
): Promise<readonly Probe[]> {
    const agent = new Agent({ connections: CONNECTIONS });
    const startedAt = performance.now();
    const sendProbe = async (i: number): Promise<Probe> => {
        const intendedAt = startedAt + i * GAP_MS;
        await delay(Math.max(intendedAt - performance.now(), 0));
        const promptTokens = firstLength + i;
        let firstTokenMs = Number.NaN;
        const shape = { ...workload, questionTokens: promptTokens, shortAnswerTokens: 1 };
        const answer = await sendModelRequest(agent, target, shape, arrivalOf(i), () => {
            firstTokenMs = performance.now() - intendedAt;
        });
        if (!answer.complete) {
            throw new Error(`probe: expected a whole answer, seen ${JSON.stringify(answer)}`);
        }
        return { promptTokens, firstTokenMs };
    };
    const probes = await Promise.all(Array.from({ length: count }, (_, i) => sendProbe(i)));
    await agent.close();
    return probes;
}
