import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

import test from "ava";

import { callOnce } from "../../dispatch/callOnce.js";
import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import { startTunnelPeer } from "../support/startTunnelPeer.js";

// Bytes of an abandoned call that a cut link holds up arrive after it has healed, and after a newer call: a connection
// that is closed still delivers them, one that is reset does not.

const TIMEOUT_MS = 150;
const HEAD = "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\nConnection: keep-alive\r\n\r\n";
const ANSWER = `${HEAD}ok`;

type Case = {
    readonly name: string;
    /** What the server writes for each request on one connection. */
    readonly answers: readonly string[];
};

const cases: readonly Case[] = [
    { name: "on a new connection", answers: [""] },
    { name: "on a kept connection", answers: [ANSWER, ""] },
    { name: "within its answer", answers: [HEAD] },
];

const ways = [{ way: "over an own link", isTunnel: false }, { way: "through a peer", isTunnel: true }];

ways.flatMap(way => cases.map(each => ({ ...way, ...each }))).forEach(({ way, isTunnel, name, answers }) => {
    test(`abandoned call: ${way}, its connection is reset when it times out ${name}`, async t => {
        const peer = await startTunnelPeer();
        const openConnection = isTunnel ? peer.openConnection : undefined;
        const ends: string[] = [];
        const left = [...answers];
        const ended = new Promise<void>(resolve => {
            const server = createServer(socket => {
                socket.on("data", () => void socket.write(left.shift() ?? ""));
                socket.on("end", () => ends.push("closed"));
                socket.on("error", () => ends.push("reset"));
                socket.on("close", () => {
                    server.close();
                    resolve();
                });
            });
            server.listen(0, "127.0.0.1", () => {
                const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
                const agent = new EndpointAgent(() => performance.now(), { openConnection });
                const call = {
                    method: "POST",
                    target: "/order",
                    headers: ["Host", "engine", "Content-Length", "2", "Connection", "keep-alive"],
                    body: Buffer.from("{}"),
                };
                void answers.reduce<Promise<unknown>>(
                    before => before.then(() => callOnce(agent, address, call, TIMEOUT_MS)),
                    Promise.resolve(),
                );
            });
        });
        await ended;
        peer.stop();
        t.deepEqual(ends, ["reset"]);
    });
});
