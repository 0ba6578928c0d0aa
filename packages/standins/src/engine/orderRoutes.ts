import { request as fetch } from "undici";

import { HttpError } from "../common/HttpError.js";
import type { HttpRequest } from "../common/HttpRequest.js";
import { readJson } from "../common/readJson.js";
import type { Route } from "../common/Route.js";
import { sendJson } from "../common/sendJson.js";
import { sleep } from "../common/sleep.js";
import { applyOrder } from "./applyOrder.js";
import { endLoad } from "./endLoad.js";
import type { Engine } from "./Engine.js";
import type { Holding } from "./Holding.js";
import { Order } from "./Order.js";
import type { OrderEntry } from "./OrderEntry.js";

const fetchWeights = async (weightsUrl: string | undefined, { model, version }: Holding): Promise<boolean> => {
    if (weightsUrl === undefined) {
        return true;
    }
    const path = `/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
    const answer = await fetch(`${weightsUrl}${path}`);
    await answer.body.dump();
    return answer.statusCode === 200;
};

/** Creates the routes that report the weights and role of an engine and take orders to change them. */
export function orderRoutes(engine: Engine): readonly Route[] {
    const { clock, flags, switches, weights, setWeights } = engine;
    const orders: OrderEntry[] = [];

    const state = () => {
        const { holds, loading, role, fencing } = weights();
        return { incarnation: engine.incarnation, ready: engine.ready(), role, holds, loading, fencing };
    };
    const load = async (holding: Holding): Promise<void> => {
        const fetched = await fetchWeights(flags.weightsUrl, holding).catch(() => false);
        await sleep(clock, flags.coldStartMs + switches.current().loadDelayMs);
        setWeights(endLoad(weights(), holding, fetched));
    };
    const order = async ({ req, res }: HttpRequest): Promise<void> => {
        const requested = await readJson(req, Order);
        const result = applyOrder(weights(), requested, flags.checksFencing);
        if (result.kind === "refused") {
            throw new HttpError(409, "A newer fencing number was seen.", {}, { fencing: result.fencing });
        }
        setWeights(result.weights);
        orders.push({ ...requested, at: clock.now() });
        if (result.unloaded) {
            engine.cache.clear();
        }
        if (result.load !== undefined) {
            void load(result.load);
        }
        const { loseOrderAnswers } = switches.current();
        if (loseOrderAnswers > 0) {
            switches.update({ loseOrderAnswers: loseOrderAnswers - 1 });
            req.socket.destroy();
            return;
        }
        sendJson(res, 200, state());
    };
    return [
        { method: "GET", pattern: /^\/v1\/state$/, handle: ({ res }) => sendJson(res, 200, state()) },
        { method: "GET", pattern: /^\/v1\/orders$/, handle: ({ res }) => sendJson(res, 200, { orders }) },
        { method: "POST", pattern: /^\/v1\/orders$/, handle: order },
    ];
}
