// Stand-in for a replica of a plain service that crashes when it begins to run a certain request, and is back after some seconds.
import { createServer } from "node:http";

const HEARTBEAT_MS = 1200;
const DOWN_MS = 3000;

/** Each start has an id of its own. Its entry is removed after three missed heartbeats. */
export const startCrashingReplica = async ({ store, name, service, zone, crashes, record = () => undefined }) => {
    const state = { isStopped: false, isUp: true, starts: 0, id: "", born: 0, port: 0 };
    const timers = new Set();
    const later = (ms, run) => void timers.add(setTimeout(run, ms));
    const beat = () =>
        state.isUp && !state.isStopped && store.put("keyed.servers", state.id, {
            Service: service, Address: `127.0.0.1:${state.port}`, Zone: zone, Version: "v1", Slots: 6, State: "ready", ColdLeftMs: 0,
            Sequence: 0, born: state.born,
        });
    const listen = () =>
        new Promise(resolve =>
            server.listen(state.port, "127.0.0.1", () => {
                Object.assign(state, { isUp: true, id: `${name}-${state.starts++}`, born: Date.now(), port: server.address().port });
                beat();
                resolve();
            })
        );
    const crash = () => {
        const { id } = state;
        state.isUp = false;
        record({ event: "crash", replica: id });
        server.close();
        server.closeAllConnections();
        later(DOWN_MS, () => state.isStopped || void listen());
        later(3 * HEARTBEAT_MS, () => state.isStopped || store.put("keyed.servers", id, undefined));
    };
    const serve = async (req, res) => {
        for await (const _ of req) {
            // Read to its end.
        }
        if (req.headers["x-azureshunt-expect-instance"] !== state.id) {
            res.writeHead(421, { "X-Azureshunt-Replica-Id": state.id });
            res.end();
            return;
        }
        const id = req.headers["x-azureshunt-request-id"];
        if (id === undefined) {
            res.writeHead(400, { "X-Azureshunt-Not-Executed": "1" });
            res.end();
            return;
        }
        if (crashes(req.url)) {
            record({ event: "run", replica: state.id, id, path: req.url });
            crash();
            return;
        }
        res.writeHead(200, { "X-Azureshunt-Request-Id": id, "X-Azureshunt-Response-Seal": `seal.${state.id}.${id}` });
        res.end(JSON.stringify({ done: id }));
    };
    const server = createServer((req, res) => void serve(req, res).catch(() => res.destroy()));
    server.keepAliveTimeout = 20_000;
    await listen();
    const timer = setInterval(beat, HEARTBEAT_MS);
    return () => {
        state.isStopped = true;
        clearInterval(timer);
        timers.forEach(clearTimeout);
        server.close();
        server.closeAllConnections();
    };
};
