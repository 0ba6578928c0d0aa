// Stand-in for a replica of a plain service: it runs each request for some time and answers it whole.
import { createHash } from "node:crypto";
import { createServer } from "node:http";

const HEARTBEAT_MS = 1200;

export const startPlainReplica = async ({ store, name, service, zone, workMs = 20, record = () => undefined }) => {
    const born = Date.now();
    const state = { isStopped: false };
    const serve = async (req, res) => {
        const digest = createHash("sha256");
        const size = { bytes: 0 };
        for await (const part of req) {
            digest.update(part);
            size.bytes += part.length;
        }
        if (req.headers["x-azureshunt-expect-instance"] !== name) {
            res.writeHead(421, { "X-Azureshunt-Replica-Id": name });
            res.end();
            return;
        }
        const id = req.headers["x-azureshunt-request-id"];
        if (id === undefined) {
            res.writeHead(400, { "X-Azureshunt-Not-Executed": "1" });
            res.end();
            return;
        }
        record({ event: "run", replica: name, id, method: req.method, path: req.url, bytes: size.bytes, sha256: digest.digest("hex").slice(0, 16) });
        await new Promise(resolve => setTimeout(resolve, workMs));
        res.writeHead(200, { "X-Azureshunt-Request-Id": id, "X-Azureshunt-Response-Seal": `seal.${name}.${id}` });
        res.end(JSON.stringify({ done: id }));
    };
    const server = createServer((req, res) => void serve(req, res).catch(() => res.destroy()));
    server.keepAliveTimeout = 20_000;
    server.requestTimeout = 0;
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
    const beat = () =>
        state.isStopped || store.put("keyed.servers", name, {
            Service: service, Address: `127.0.0.1:${server.address().port}`, Zone: zone, Version: "v1", Slots: 6, State: "ready",
            ColdLeftMs: 0, Sequence: 0, born,
        });
    beat();
    const timer = setInterval(beat, HEARTBEAT_MS);
    return () => {
        state.isStopped = true;
        clearInterval(timer);
        server.close();
        server.closeAllConnections();
    };
};
