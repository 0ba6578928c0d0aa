import { createServer } from "node:http";
import type { IncomingMessage } from "node:http";
import { createServer as createTcpServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

import test from "ava";

import { callOnce } from "../../dispatch/callOnce.js";
import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { readerWaitMs } from "../../knowledge/readerWaitMs.js";

// A timeout with a fraction of a millisecond would throw and end the process.
test("callOnce: accepts a timeout with a fraction of a millisecond", async t => {
    const server = createServer((_req, res) => res.end("ok"));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const agent = new EndpointAgent(() => performance.now());
    const call = { method: "GET", target: "/", headers: ["Host", "store"], body: Buffer.alloc(0) };
    const heads: (number | undefined)[] = [];
    const onHead = ({ statusCode }: IncomingMessage): void => void heads.push(statusCode);
    t.like(await callOnce(agent, address, call, 1_912.5, onHead), { kind: "answer", status: 200 });
    t.deepEqual(heads, [200]);
    agent.destroy();
    server.close();
});

// Guards against a process that ends as a peer's address or a record of the store makes a call that Node refuses to send.
const refused = [
    { name: "a target with white space", address: "127.0.0.1:9", target: "/a b", host: "store" },
    { name: "a header with a line break", address: "127.0.0.1:9", target: "/", host: "a\nb" },
    { name: "a port that is none", address: "127.0.0.1:99999", target: "/", host: "store" },
] as const;
refused.forEach(({ name, address, target, host }) => {
    test(`callOnce: with ${name}, nobody is reached`, async t => {
        const agent = new EndpointAgent(() => performance.now());
        const call = { method: "GET", target, headers: ["Host", host], body: Buffer.alloc(0) };
        t.deepEqual(await callOnce(agent, address, call, 500), { kind: "unreached" });
        agent.destroy();
    });
});

[6, 15, 40, 66].forEach(vms => {
    test(`declarations: a reader among ${vms} VMs waits an integral number of milliseconds`, t => {
        const inputs = {
            declaredState: initialDeclaredState,
            requestedAt: 0,
            beaconIntervalMs: 25 * vms,
            configurationMs: 1_234.5,
        };
        [true, false].forEach(isForDomains => t.true(Number.isInteger(readerWaitMs({ ...inputs, isForDomains }, 0.5))));
        const declaredState = { ...initialDeclaredState, confirmedAt: 0.3 };
        t.true(Number.isInteger(readerWaitMs({ ...inputs, declaredState, isForDomains: true }, 1_500.8)));
    });
});

/** Ways in which a server ends a kept connection when the next request arrives on it. */
const endings: readonly { readonly name: string; readonly endWith: (socket: Socket) => void; }[] = [
    { name: "resets it", endWith: socket => socket.resetAndDestroy() },
    { name: "closes it", endWith: socket => socket.end() },
    {
        name: "resets it within the answer",
        endWith: socket => socket.write("HTTP/1.1 202 Acc", () => socket.resetAndDestroy()),
    },
];

// An order that was lost with its kept connection would be sent again, and an engine may carry both out.
endings.forEach(({ name, endWith }) => {
    test(`callOnce: sends a call once when the server of its kept connection ${name} as it arrives`, async t => {
        const arrived: string[] = [];
        const server = createTcpServer(socket => {
            const served = { count: 0 };
            socket.on("error", () => undefined);
            socket.on("data", bytes => {
                const orders = bytes.toString("latin1").match(/(?<=X-Order: )\d+/g) ?? [];
                arrived.push(...orders);
                if (orders.length === 0) {
                    return;
                }
                if (served.count++ > 0) {
                    endWith(socket);
                    return;
                }
                socket.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nConnection: keep-alive\r\n\r\n");
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const agent = new EndpointAgent(() => performance.now());
        const ids = Array.from({ length: 100 }, (_, i) => String(i));
        const kinds = await ids.reduce(async (before: Promise<readonly string[]>, id) => {
            const done = await before;
            const headers = ["Host", "engine", "X-Order", id, "Content-Length", "2", "Connection", "keep-alive"];
            const call = { method: "POST", target: "/order", headers, body: Buffer.from("{}") };
            return [...done, (await callOnce(agent, address, call, 2_000)).kind];
        }, Promise.resolve([]));
        t.deepEqual(arrived, ids);
        t.deepEqual(kinds, ids.map((_, i) => i % 2 === 0 ? "answer" : "lost"));
        agent.destroy();
        server.close();
    });
});

// Guards against an answer whose status is none passing as one of an endpoint, a peer or the store: an order that it answers
// would count as refused, and another one be sent.
["000", "099", "101", "600", "999"].forEach(status => {
    test(`callOnce: an answer with the status ${status} is lost`, async t => {
        const server = createTcpServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => socket.write(`HTTP/1.1 ${status} X\r\nContent-Length: 2\r\n\r\n{}`));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const agent = new EndpointAgent(() => performance.now());
        const call = { method: "GET", target: "/", headers: ["Host", "engine"], body: Buffer.alloc(0) };
        t.deepEqual(await callOnce(agent, address, call, 2_000), { kind: "lost" });
        agent.destroy();
        server.close();
    });
});
