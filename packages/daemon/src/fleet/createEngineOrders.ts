import { randomUUID } from "node:crypto";

import type { FleetOrder, ObservedEngine } from "@azureshunt/fleet";
import type { EndpointSpec } from "@azureshunt/release";
import { Agent, request } from "undici";

import { EngineState } from "./EngineState.js";

const STATUS_OK = 200;
const STATUS_CONFLICT = 409;
const CONNECT_MS = 500;

/** How an order ended: `fenced` by an engine that knows a newer lease; `unknown` where no answer came. */
type OrderOutcome = "done" | "fenced" | "refused" | "unknown";

/** Asks engines what they hold and gives them orders. */
type EngineOrders = {
    /** Undefined when the engine did not answer in time. */
    readonly observe: (spec: EndpointSpec) => Promise<ObservedEngine | undefined>;
    readonly send: (spec: EndpointSpec, order: FleetOrder, fencing: number) => Promise<OrderOutcome>;
    readonly stop: () => Promise<void>;
};

/**
 * Makes the client of engines' state and orders.
 *
 * @param timeoutMs longest time of one call; an order is over by then, whether an answer came or not
 */
export function createEngineOrders(timeoutMs: number): EngineOrders {
    const dispatcher = new Agent({ connect: { timeout: CONNECT_MS }, connections: 2, pipelining: 1 });

    const observe: EngineOrders["observe"] = async spec => {
        try {
            const res = await request(`${spec.url}/v1/state`, { dispatcher, signal: AbortSignal.timeout(timeoutMs) });
            const { holds, loading } = EngineState.parse(await res.body.json());
            return { name: spec.name, holds, loading };
        }
        catch {
            return undefined;
        }
    };

    const send: EngineOrders["send"] = async (spec, order, fencing) => {
        try {
            const { model, adapter, version } = order.weights;
            const res = await request(`${spec.url}/v1/orders`, {
                method: "POST",
                dispatcher,
                signal: AbortSignal.timeout(timeoutMs),
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
