// Stand-in for a model replica, as PROTOCOL.md describes it: streams, orders, holds, reports and its registry entry.
import { createServer } from "node:http";

const HEARTBEAT_MS = 1200;
const readAll = async req => {
    const parts = [];
    for await (const part of req) {
        parts.push(part);
    }
    return Buffer.concat(parts).toString();
};

/**
 * Starts a replica that registers itself. `weights` holds the version of each model. `dropsOnClose` tells whether it stops
 * work on a request whose connection closes, as most replicas do.
 */
export const startEngine = async (
    { store, name, service, zone, weights, slots = 64, events = () => 10, eventMs = 20, dropsOnClose = true, loadMs = 760, record = () => undefined },
) => {
    const born = Date.now();
    const state = { sequence: 0, isBusy: false, running: new Set(), holds: new Map(), nextHold: 0, isStopped: false };
    /** Cached parts: by salt, model and id of the part, the tenant whose request made it. Nothing is evicted. */
    const cache = new Map();
    const models = () => Object.entries(weights).map(([Name, Version]) => ({ Name, Version, Adapters: [] }));
    const answer = (res, status, body, headers = {}) => {
        res.writeHead(status, { "Content-Type": "application/json", ...headers });
        res.end(JSON.stringify(body));
    };
    const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
    const notRun = (res, id) => answer(res, 503, {}, { "X-Azureshunt-Not-Executed": "1", "X-Azureshunt-Request-Id": id });

    /** Carries an accepted order out: by `queue`, runs finish first. */
    const load = async ({ Model, Version }) => {
        while (state.running.size > 0) {
            await sleep(10);
        }
        await sleep(loadMs);
        weights[Model] = Version;
        [...cache.keys()].filter(key => JSON.parse(key)[1] === Model).forEach(key => cache.delete(key));
        state.isBusy = false;
        record({ event: "loaded", replica: name, model: Model, version: Version });
        beat();
    };
    const takeOrder = (order, res) => {
        const { Op, Model, Version, Expect } = order;
        const isKnown = Op === "Version" && weights[Model] !== undefined && order.Holder !== undefined && order.Fence !== undefined;
        const status = !isKnown
            ? 400
            : state.isBusy || (Expect !== undefined && Expect !== state.sequence)
            ? 409
            : weights[Model] === Version
            ? 200
            : 202;
        record({ event: "order", replica: name, model: Model, version: Version, holder: order.Holder, fence: order.Fence, status });
        if (status === 202) {
            state.sequence += 1;
            state.isBusy = true;
            void load(order);
        }
        answer(res, status, {});
    };
    const dropExpired = () => state.holds.forEach((until, hold) => until < Date.now() && state.holds.delete(hold));
    const takeHold = ({ TtlMs }, res) => {
        dropExpired();
        if (state.isBusy || state.running.size + state.holds.size >= slots) {
            answer(res, 503, {});
            return;
        }
        const hold = `h${state.nextHold++}`;
        state.holds.set(hold, Date.now() + TtlMs);
        answer(res, 200, { Hold: hold });
    };
    /** Uses the parts at the start of the prompt that are cached, and makes the others. */
    const prefill = ({ headers }, id, model) => {
        const tenant = headers["x-azureshunt-tenant"];
        const salt = headers["x-azureshunt-cache-salt"] ?? "";
        const parts = (headers["x-azureshunt-prompt-prefix"] ?? "").split(",").map(part => part.split(":")[0]);
        const keys = parts.map(part => JSON.stringify([salt, model, part]));
        const missing = keys.findIndex(key => !cache.has(key));
        const used = missing < 0 ? keys : keys.slice(0, missing);
        record({ event: "prefill", replica: name, id, tenant, salt, used: used.map((key, i) => ({ part: parts[i], madeBy: cache.get(key) })) });
        keys.slice(used.length).forEach(key => cache.set(key, tenant));
    };
    const run = async (req, res, id, model) => {
        const from = Number(req.headers["last-event-id"] ?? -1) + 1;
        const total = events(id);
        const current = { id };
        state.running.add(current);
        record({ event: "run", replica: name, id, model, version: weights[model], from });
        prefill(req, id, model);
        res.on("close", () => {
            if (!res.writableFinished) {
                record({ event: "connection closed", replica: name, id });
            }
        });
        res.writeHead(200, {
            "Content-Type": "text/event-stream",
            "X-Azureshunt-Request-Id": id,
            "X-Azureshunt-Response-Seal": `seal.${name}`,
            "X-Azureshunt-Weight-Versions": String(weights[model]),
        });
        let at = from;
        for (; at < total && !(dropsOnClose && res.destroyed); at++) {
            if (!res.destroyed) {
                res.write(`id: ${at}\ndata: ${id}/${at}\n\n`);
            }
            await sleep(eventMs);
        }
        state.running.delete(current);
        record({ event: "run ends", replica: name, id, made: at - from, isWhole: at === total });
        res.end();
    };
    const serve = async (req, res) => {
        const expected = req.headers["x-azureshunt-expect-instance"];
        if (expected !== undefined && expected !== name) {
            answer(res, 421, {}, { "X-Azureshunt-Replica-Id": name });
            return;
        }
        if (req.url === "/report") {
            answer(res, 200, {
                Stage: "unified", Models: models(), Busy: state.isBusy, Sequence: state.sequence, Waiting: 0,
                Running: state.running.size, KvUsed: 0, KvTotal: 283555, Handles: 0, born,
            });
            return;
        }
        const body = await readAll(req);
        if (req.url === "/order") {
            takeOrder(JSON.parse(body), res);
            return;
        }
        if (req.url === "/hold-take") {
            takeHold(JSON.parse(body), res);
            return;
        }
        if (req.url.startsWith("/hold-drop/")) {
            state.holds.delete(req.url.slice("/hold-drop/".length));
            answer(res, 200, {});
            return;
        }
        const id = req.headers["x-azureshunt-request-id"];
        const model = req.headers["x-azureshunt-model"];
        if (id === undefined) {
            answer(res, 400, {}, { "X-Azureshunt-Not-Executed": "1" });
            return;
        }
        const version = req.headers["x-azureshunt-expect-version"];
        if (weights[model] === undefined || (version !== undefined && Number(version) !== weights[model])) {
            record({ event: "421", replica: name, id, model, expected: version, has: weights[model] });
            answer(res, 421, {}, { "X-Azureshunt-Replica-Id": name, "X-Azureshunt-Request-Id": id });
            return;
        }
        dropExpired();
        const isHeld = state.holds.delete(req.headers["x-azureshunt-hold"]);
        if (state.isBusy || (!isHeld && state.running.size + state.holds.size >= slots)) {
            notRun(res, id);
            return;
        }
        await run(req, res, id, model);
    };
    const server = createServer((req, res) => void serve(req, res).catch(() => res.destroy()));
    server.keepAliveTimeout = 20_000;
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${server.address().port}`;
    const beat = () =>
        state.isStopped || store.put("keyed.servers", name, {
            Service: service, Address: address, Zone: zone, Version: "v1", Slots: slots, State: "ready", ColdLeftMs: 0,
            Stage: "unified", Models: models(), Sequence: state.sequence, born,
        });
    beat();
    const timer = setInterval(beat, HEARTBEAT_MS);
    return {
        name,
        weights,
        stop: () => {
            state.isStopped = true;
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        },
    };
};
