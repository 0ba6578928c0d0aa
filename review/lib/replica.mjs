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
 * @param parts.crashesOn whether a request with this body crashes each replica that begins to run it
 */
export async function startReplica(parts) {
    const { store, service, zone, models = [], slots = 6, crashesOn = () => false, backAfterMs = 2500, queue = 24, workMs = 20, events = 5, host = "127.0.0.1" } = parts;
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
    const takeSlot = async () => {
        if (state.running >= slots) {
            await new Promise(resolve => state.waiting.push(resolve));
        }
        else {
            state.running += 1;
        }
    };
    const freeSlot = () => {
        const next = state.waiting.shift();
        if (next === undefined) {
            state.running -= 1;
        }
        else {
            next();
        }
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
            res.writeHead(421, { "X-Azureshunt-Replica-Id": name, "X-Azureshunt-Not-Executed": "1", "Content-Length": 0 });
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
            setTimeout(() => {
                versions.set(order.Model, order.Version);
                state.isBusy = false;
                [...cache.keys()].filter(key => key.split(" ")[1] === order.Model).forEach(key => cache.delete(key));
                beat();
            }, 760);
            res.writeHead(202, { "Content-Length": 0 });
            res.end();
            return;
        }
        if (state.running >= slots && state.waiting.length >= queue) {
            refuse(res, id);
            return;
        }
        await takeSlot();
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
        if (crashesOn(body.toString("utf8"))) {
            crash();
            return;
        }
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
            await sleep(4);
        }
        res.end();
        freeSlot();
    };
    const server = createServer((req, res) => void serve(req, res).catch(() => res.destroy()));
    server.keepAliveTimeout = 5000;
    const sockets = new Set();
    server.on("connection", socket => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    /** Ends as a process does that crashes: connections are reset, nothing listens, and its entry expires. */
    const crash = () => {
        clearInterval(timer);
        server.close();
        sockets.forEach(socket => socket.resetAndDestroy());
        parts.onCrash?.(name);
        setTimeout(() => store.put("keyed.servers", name, undefined), 3 * 1200);
        setTimeout(() => void startReplica(parts), backAfterMs);
    };
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
