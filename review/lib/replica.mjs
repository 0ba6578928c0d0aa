// Stand-in for a replica: a plain service, or an engine with a KV cache if it has models.
import { createServer } from "node:http";

const readAll = async req => {
    const chunks = [];
    for await (const chunk of req) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};
const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

const names = { next: 1 };

/**
 * Starts a replica on a free port and registers it in the store.
 *
 * @param parts.onRun called with what a request is and which cached parts it uses, when it begins to run
 * @param parts.onRefused called with a request that finds no room
 * @param parts.onEnd called when a stream ends, and whether its connection was open until then
 */
export async function startReplica(parts) {
    const { store, service, zone, models = [], slots = 6, queue = 24, workMs = 20, host = "127.0.0.1" } = parts;
    const { events = 5, eventMs = 4 } = parts;
    const name = `i-${(0x7f3a91c0 + names.next++).toString(16)}`;
    const isEngine = models.length > 0;
    /** Version of the weights by model. */
    const versions = new Map(models.map(model => [model, 1]));
    const listModels = () => [...versions].map(([Name, Version]) => ({ Name, Version, Adapters: [] }));
    const state = { running: 0, waiting: [], sequence: 0, isBusy: false, beats: 0, isDraining: false };
    const born = Date.now();
    /** Cached parts by salt and id: which tenant made them, and under which version. */
    const cache = new Map();

    const headersOf = (id, version, more = {}) => ({
        "X-Azureshunt-Request-Id": id,
        "X-Azureshunt-Response-Seal": `3e1b.${name}.${id}`,
        ...(version === undefined ? {} : { "X-Azureshunt-Weight-Versions": String(version) }),
        ...more,
    });
    const refuse = (res, id) => {
        res.writeHead(503, { "X-Azureshunt-Not-Executed": "1", "X-Azureshunt-Request-Id": id, "Content-Length": 0 });
        res.end();
    };
    /** Resolves once there is a slot, with `false` if the request is refused instead. */
    const takeSlot = () => {
        if (state.running >= slots) {
            return new Promise(resolve => state.waiting.push(resolve));
        }
        state.running += 1;
        return Promise.resolve(true);
    };
    const freeSlot = () => {
        const next = state.waiting.shift();
        if (next === undefined) {
            state.running -= 1;
        }
        else {
            next(true);
        }
    };
    /** Carries an order for new weights out. */
    const load = async order => {
        while (state.running > 0) {
            await sleep(10);
        }
        await sleep(760);
        versions.set(order.Model, order.Version);
        state.isBusy = false;
        [...cache.keys()].filter(key => key.split(" ")[1] === order.Model).forEach(key => cache.delete(key));
        beat();
    };
    const partsOf = headers =>
        (headers["x-azureshunt-prompt-prefix"] ?? "").split(",").filter(Boolean).map(entry => entry.split(":")[0]);
    /** Reads a prompt as an engine does: parts are found as long as all before them are; the rest is made and kept. */
    const readPrompt = headers => {
        const salt = headers["x-azureshunt-cache-salt"] ?? "";
        const tenant = headers["x-azureshunt-tenant"];
        const used = [];
        let isPrefix = true;
        partsOf(headers).forEach(id => {
            const key = `${salt} ${headers["x-azureshunt-model"]} ${id}`;
            const kept = cache.get(key);
            isPrefix &&= kept !== undefined;
            if (isPrefix) {
                used.push({ id, salt, madeBy: kept.tenant, version: kept.version });
            }
            else {
                cache.set(key, { tenant, version: versions.get(headers["x-azureshunt-model"]) });
            }
        });
        return used;
    };
    const serve = async (req, res) => {
        const { headers } = req;
        if (req.url === "/report") {
            res.writeHead(200, { "content-type": "application/json" });
            res.end(JSON.stringify({
                Stage: "unified",
                Models: listModels(),
                Busy: state.isBusy,
                Sequence: state.sequence,
                Waiting: state.waiting.length,
                Running: state.running,
                KvUsed: 0,
                KvTotal: 283555,
                Handles: 0,
                born,
            }));
            return;
        }
        const expected = headers["x-azureshunt-expect-instance"];
        const expectedVersion = headers["x-azureshunt-expect-version"];
        const version = versions.get(headers["x-azureshunt-model"]);
        const id = headers["x-azureshunt-request-id"] ?? "";
        if (
            (expected !== undefined && expected !== name)
            || (expectedVersion !== undefined && Number(expectedVersion) !== version)
        ) {
            await readAll(req);
            res.writeHead(421, {
                "X-Azureshunt-Replica-Id": name,
                "X-Azureshunt-Not-Executed": "1",
                ...(version === undefined ? {} : { "X-Azureshunt-Weight-Versions": String(version) }),
                "Content-Length": 0,
            });
            res.end();
            return;
        }
        const body = await readAll(req);
        if (req.url === "/order") {
            const order = JSON.parse(body.toString("utf8"));
            parts.onOrder?.(name, order);
            if (state.isBusy || (order.Expect !== undefined && order.Expect !== state.sequence)) {
                res.writeHead(409, { "Content-Length": 0 });
                res.end();
                return;
            }
            state.sequence += 1;
            state.isBusy = true;
            // What has not started is refused until the order is complete; `queue`: runs finish first.
            state.waiting.splice(0).forEach(start => start(false));
            void load(order);
            res.writeHead(202, { "Content-Length": 0 });
            res.end();
            return;
        }
        if (state.isBusy || (state.running >= slots && state.waiting.length >= queue)) {
            parts.onRefused?.(name, id);
            refuse(res, id);
            return;
        }
        if (!await takeSlot()) {
            refuse(res, id);
            return;
        }
        if (res.destroyed) {
            freeSlot();
            return;
        }
        parts.onRun?.({
            replica: name,
            service,
            id,
            tenant: headers["x-azureshunt-tenant"],
            method: req.method,
            path: req.url,
            headers,
            body: body.toString("utf8"),
            used: isEngine ? readPrompt(headers) : [],
            at: performance.now(),
        });
        await sleep(workMs);
        if (!isEngine) {
            const text = JSON.stringify({ by: name, id });
            res.writeHead(200, headersOf(id, undefined, { "Content-Length": Buffer.byteLength(text) }));
            res.end(text);
            freeSlot();
            return;
        }
        res.writeHead(200, headersOf(id, version, { "Content-Type": "text/event-stream" }));
        const from = Number(headers["last-event-id"] ?? 0);
        for (let event = from + 1; event <= events && !res.destroyed; event += 1) {
            res.write(`id: ${event}\ndata: token ${event}\n\n`);
            await sleep(eventMs);
        }
        parts.onEnd?.({ replica: name, id, isWhole: !res.destroyed });
        res.end();
        freeSlot();
    };
    const server = createServer((req, res) => void serve(req, res).catch(() => res.destroy()));
    server.keepAliveTimeout = 5000;
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    const entry = () => ({
        Service: service,
        Address: address,
        Zone: zone,
        Version: "v1",
        Slots: slots,
        State: state.isDraining ? "draining" : "ready",
        ColdLeftMs: 0,
        ...(isEngine ? { Stage: "unified", Models: listModels() } : {}),
        Sequence: state.beats,
        born,
    });
    const beat = () => {
        state.beats += 1;
        store.put("keyed.servers", name, entry());
    };
    beat();
    const timer = setInterval(beat, 1200);
    return {
        name,
        address,
        entry,
        versionOf: model => versions.get(model),
        stop: () => {
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        },
    };
}
