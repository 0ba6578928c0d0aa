import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { Worker } from "node:worker_threads";

import { createRequestGate } from "@azureshunt/http";
import test from "ava";

import { startHttpServer } from "../../gateway/startHttpServer.js";

/** A caller that runs on while the listener's thread does not; reports the status lines and the end of its connection. */
const CALLER = `
const { parentPort, workerData } = require("node:worker_threads");
const socket = require("node:net").connect(workerData.port, "127.0.0.1");
socket.on("data", data => parentPort.postMessage(data.toString().slice(9, 12)));
socket.on("error", err => parentPort.postMessage(err.code));
socket.on("close", () => parentPort.postMessage("closed"));
socket.on("connect", () => {
    socket.write(workerData.first);
    parentPort.postMessage("sent");
    const wait = () => Atomics.load(workerData.flag, 0) === 0
        ? setTimeout(wait, 5)
        : setTimeout(() => socket.write(workerData.second), 150);
    wait();
});
`;

/** Longer than the idle time and the second that Node adds to it. */
const BLOCKED_MS = 2_000;
const GET = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n";

const cases = [
    { name: "a request on an idle connection", first: GET, second: GET, before: ["sent", "200"], after: ["200"] },
    {
        name: "the body of a request",
        first: "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\n",
        second: "body",
        before: ["sent"],
        after: ["200"],
    },
    {
        name: "the rest of a head",
        first: "GET / HTTP/1.1\r\nHost: ",
        second: "a.example\r\n\r\n",
        before: ["sent"],
        after: ["200"],
    },
];

// Guards against connections that are reset, or refused as too slow, by a process that has not looked at them for a while.
cases.forEach(({ name, first, second, before, after }) => {
    test.serial(`stopped listener: what arrives while the process does not run is answered: ${name}`, async t => {
        const server = await startHttpServer({
            gate: createRequestGate(),
            address: "127.0.0.1:0",
            claim: (_address, bind) => bind(),
            tls: undefined,
            limits: { headerBytes: 16_384, connections: 10 } as Parameters<typeof startHttpServer>[0]["limits"],
            handler: (req, res) => void req.resume().on("end", () => res.end()),
        });
        Object.assign(server, { keepAliveTimeout: 400, headersTimeout: 400, requestTimeout: 400 });
        const flag = new Int32Array(new SharedArrayBuffer(4));
        const { port } = server.address() as AddressInfo;
        const worker = new Worker(CALLER, { eval: true, workerData: { port, flag, first, second } });
        t.teardown(async () => {
            await worker.terminate();
            server.closeAllConnections();
            server.close();
        });
        const seen: string[] = [];
        worker.on("message", (message: string) => seen.push(message));
        while (seen.length < before.length) {
            await once(worker, "message");
        }
        await sleep(50);
        // In an immediate, so that overdue timers come before the next poll, as when a stopped process goes on.
        await new Promise<void>(resolve =>
            setImmediate(() => {
                Atomics.store(flag, 0, 1);
                Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, BLOCKED_MS);
                resolve();
            })
        );
        while (seen.length < before.length + after.length) {
            await once(worker, "message");
        }
        t.deepEqual(seen.slice(before.length), after);
    });
});

// Guards against connections that are kept for ever, as Node closes none whose timeouts are judged.
test.serial("stopped listener: idle connections are closed, and late requests refused", async t => {
    const server = await startHttpServer({
        gate: createRequestGate(),
        address: "127.0.0.1:0",
        claim: (_address, bind) => bind(),
        tls: undefined,
        limits: { headerBytes: 16_384, connections: 10 } as Parameters<typeof startHttpServer>[0]["limits"],
        handler: (req, res) => void req.resume().on("end", () => res.end()),
    });
    Object.assign(server, { keepAliveTimeout: 200, headersTimeout: 200, requestTimeout: 200 });
    const { port } = server.address() as AddressInfo;
    const flag = new Int32Array(new SharedArrayBuffer(4));
    const endOf = async (first: string): Promise<readonly string[]> => {
        const worker = new Worker(CALLER, { eval: true, workerData: { port, flag, first, second: "" } });
        const seen: string[] = [];
        worker.on("message", (message: string) => seen.push(message));
        while (!seen.includes("closed")) {
            await once(worker, "message");
        }
        await worker.terminate();
        return seen;
    };
    t.teardown(() => server.close());
    t.deepEqual(await endOf(GET), ["sent", "200", "closed"]);
    t.deepEqual(await endOf("GET / HTTP/1.1\r\nHost: "), ["sent", "408", "closed"]);
    t.deepEqual(await endOf("no request\r\n\r\n"), ["sent", "400", "closed"]);
});
