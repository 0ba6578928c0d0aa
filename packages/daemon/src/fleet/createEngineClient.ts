import { randomUUID } from "node:crypto";

import type { ObservedEngine, WeightsOrder } from "@azureshunt/fleet";
import { isFinalStatus, maxAnswerHeadBytes, maxReportBytes } from "@azureshunt/http";
import { timeoutSignal } from "@azureshunt/lifecycle";
import type { EndpointSpec } from "@azureshunt/release";
import { Agent, request } from "undici";

import { EngineState } from "./EngineState.js";

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;
const CONNECT_TIMEOUT_MS = 500;

/** Result of an order. `fenced`: the engine has seen a newer lease; `unknown`: no answer was received. */
type OrderOutcome = "done" | "fenced" | "refused" | "unknown";

/** Client that reads the engines' state and sends them orders. */
type EngineClient = {
    /** Returns undefined if the engine did not answer in time. */
    readonly observe: (spec: EndpointSpec) => Promise<ObservedEngine | undefined>;
    readonly send: (spec: EndpointSpec, order: WeightsOrder, fencing: number) => Promise<OrderOutcome>;
    readonly stop: () => Promise<void>;
};

/**
 * Creates the client of engines' state and orders.
 *
 * @param timeoutMs maximum time of one call; an order has ended by then, even without an answer
 */
export function createEngineClient(timeoutMs: number): EngineClient {
    const dispatcher = new Agent({
        connect: { timeout: CONNECT_TIMEOUT_MS },
        connections: 2,
        pipelining: 1,
        maxHeaderSize: maxAnswerHeadBytes,
        maxResponseSize: maxReportBytes,
    });

    const observe: EngineClient["observe"] = async spec => {
        try {
            const res = await request(`${spec.url}/v1/state`, { dispatcher, signal: timeoutSignal(timeoutMs) });
            const body = await res.body.json();
            if (res.statusCode !== STATUS_OK) {
                return undefined;
            }
            const { holds, loading } = EngineState.parse(body);
            return { name: spec.name, holds, loading };
        }
        catch {
            return undefined;
        }
    };

    const send: EngineClient["send"] = async (spec, order, fencing) => {
        try {
            const { model, adapter, version } = order.weights;
            const res = await request(`${spec.url}/v1/orders`, {
                method: "POST",
                dispatcher,
                signal: timeoutSignal(timeoutMs),
                headers: { "content-type": "application/json" },
                body: JSON.stringify({
                    orderId: randomUUID(),
                    fencing,
                    action: order.action,
                    model,
                    adapter,
                    version,
                }),
            });
            await res.body.dump();
            if (!isFinalStatus(res.statusCode)) {
                return "unknown";
            }
            if (res.statusCode === STATUS_CONFLICT) {
                return "fenced";
            }
            return res.statusCode === STATUS_OK ? "done" : "refused";
        }
        catch {
            return "unknown";
        }
    };

    return { observe, send, stop: () => dispatcher.destroy() };
}
