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
 * Sends planned requests at their times, independent of the results of earlier requests. All times are measured from
 * the intended time of sending, so a request that delays others shows in their times too (no coordinated omission).
 *
 * @param onPhase called with the phase of the next request each time the phase changes
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
    const msSinceIntended = (arrival: Arrival): number => performance.now() - startedAt - arrival.at;

    const send = async (arrival: Arrival): Promise<Outcome> => {
        const sentLateMs = msSinceIntended(arrival);
        let firstMs: number | undefined;
        const onFirstToken = (): void => {
            firstMs ??= msSinceIntended(arrival);
        };
        const isModel = arrival.kind === "long" || arrival.kind === "short";
        const answer = await (isModel
            ? sendModelRequest(agent, target, workload, arrival, onFirstToken)
            : sendServiceRequest(agent, target, arrival)).catch(() => NO_ANSWER);
        const endMs = msSinceIntended(arrival);
        return { arrival, sentLateMs, firstMs: isModel ? firstMs : endMs, endMs, ...answer };
    };
    const pending: Promise<Outcome>[] = [];
    let phase = "";
    for (const arrival of arrivals) {
        const wait = -msSinceIntended(arrival);
        if (wait > 0) {
            await delay(wait);
        }
        if (arrival.phase !== phase) {
            phase = arrival.phase;
            onPhase(phase);
        }
        pending.push(send(arrival));
    }
    const outcomes = await Promise.all(pending);
    await agent.close();
    return outcomes;
}
