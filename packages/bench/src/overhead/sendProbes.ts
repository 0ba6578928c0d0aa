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
 * Sends short requests, one every forty milliseconds whatever became of those before.
 *
 * @param firstLength tokens of the first one's prompt; each next one has a token more
 */
export async function sendProbes(
    target: LoadTarget,
    workload: Workload,
    count: number,
    firstLength: number,
): Promise<readonly Probe[]> {
    const agent = new Agent({ connections: CONNECTIONS });
    const startedAt = performance.now();
    const probe = async (i: number): Promise<Probe> => {
        const intended = startedAt + i * GAP_MS;
        await delay(Math.max(intended - performance.now(), 0));
        const promptTokens = firstLength + i;
        let firstMs = Number.NaN;
        const shape = { ...workload, questionTokens: promptTokens, shortAnswerTokens: 1 };
        const answer = await sendModelRequest(agent, target, shape, arrivalOf(i), () => {
            firstMs = performance.now() - intended;
        });
        if (!answer.complete) {
            throw new Error(`probe: expected a whole answer, seen ${JSON.stringify(answer)}`);
        }
        return { promptTokens, firstMs };
    };
    const probes = await Promise.all(Array.from({ length: count }, (_, i) => probe(i)));
    await agent.close();
    return probes;
}
