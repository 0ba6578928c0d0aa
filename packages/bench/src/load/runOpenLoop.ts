import { setTimeout as delay } from "node:timers/promises";

import { Agent } from "undici";

import type { Arrival } from "../workload/Arrival.js";
import type { Workload } from "../workload/Workload.js";
import type { LoadTarget } from "./LoadTarget.js";
import type { Outcome } from "./Outcome.js";
import { sendModelRequest } from "./sendModelRequest.js";
import { sendServiceRequest } from "./sendServiceRequest.js";

const CONNECTIONS = 512;
const ANSWER_TIMEOUT_MS = 30_000;

const NO_ANSWER = { status: 0, errorCode: "no-answer", ran: undefined, complete: false, tokens: 0 };

/**
 * Sends planned requests at their times, whatever became of those before them. All times count from the intended moment,
 * so a delay of one request shows in those that it holds up (no coordinated omission).
 *
 * @param onPhase called with the phase of the request that is sent, each time it changes
 */
export async function runOpenLoop(
    target: LoadTarget,
    workload: Workload,
    arrivals: readonly Arrival[],
    onPhase: (phase: string) => void = () => undefined,
): Promise<readonly Outcome[]> {
    const agent = new Agent({
        connections: CONNECTIONS,
        headersTimeout: ANSWER_TIMEOUT_MS,
        bodyTimeout: ANSWER_TIMEOUT_MS,
    });
    const startedAt = performance.now();
    const since = (arrival: Arrival): number => performance.now() - startedAt - arrival.at;

    const send = async (arrival: Arrival): Promise<Outcome> => {
        const sentLateMs = since(arrival);
        let firstMs: number | undefined;
        const onFirst = (): void => {
            firstMs ??= since(arrival);
        };
        const isModel = arrival.kind === "long" || arrival.kind === "short";
        const answer = await (isModel
            ? sendModelRequest(agent, target, workload, arrival, onFirst)
            : sendServiceRequest(agent, target, arrival)).catch(() => NO_ANSWER);
        const endMs = since(arrival);
        return { arrival, sentLateMs, firstMs: isModel ? firstMs : endMs, endMs, ...answer };
    };
    const sent: Promise<Outcome>[] = [];
    let phase = "";
    for (const arrival of arrivals) {
        const wait = -since(arrival);
        if (wait > 0) {
            await delay(wait);
        }
        if (arrival.phase !== phase) {
            phase = arrival.phase;
            onPhase(phase);
        }
        sent.push(send(arrival));
    }
    const outcomes = await Promise.all(sent);
    await agent.close();
    return outcomes;
}
