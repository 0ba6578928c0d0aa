import { createServer } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import type { AddressInfo } from "node:net";

import { FailureDomain, VmId } from "@azureshunt/core";
import test from "ava";

import type { CallerWire } from "../../ports/CallerWire.js";
import type { RouterSettings } from "../../RouterSettings.js";
import { startFront } from "../../serve/startFront.js";

const callerWire = {
    encodeRefusal: () => ({ headers: [], body: "" }),
} as unknown as CallerWire;

const freePort = (): Promise<number> =>
    new Promise(resolve => {
        const server = createServer().listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(port));
        });
    });

const start = async () => {
    const [callers, ready] = await Promise.all([freePort(), freePort()]);
    const listen = { callers: `127.0.0.1:${callers}`, ready: `127.0.0.1:${ready}`, peers: "", metrics: "" };
    const release: (() => void)[] = [];
    const seen = { requests: 0 };
    const front = await startFront({
        settings: {
            vm: VmId.parse("vm"),
            failureDomain: FailureDomain.parse("fd"),
            listen,
        } as unknown as RouterSettings,
        handler: async (_req, res) => {
            seen.requests += 1;
            res.writeHead(200);
            res.write("begun");
            await new Promise<void>(resolve => release.push(resolve));
            res.end();
        },
        callerWire,
        limits: () => undefined,
        isReady: () => true,
    });
    return { front, port: callers, release, seen };
};

const REQUEST = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

const open = (
    port: number,
): Promise<{ readonly socket: Socket; readonly text: () => string; readonly closed: Promise<void>; }> =>
    new Promise(resolve => {
        const got = { text: "" };
        const socket = connect(port, "127.0.0.1", () => resolve({ socket, text: () => got.text, closed }));
        const closed = new Promise<void>(done => socket.once("close", () => done()));
        socket.on("data", (data: Buffer) => {
            got.text += data.toString();
        });
        socket.on("error", () => undefined);
    });

const until = async (holds: () => boolean): Promise<void> => {
    while (!holds()) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
};

const untilRefused = async (port: number): Promise<void> => {
    const isRefused = await new Promise<boolean>(resolve => {
        const socket = connect(port, "127.0.0.1", () => {
            socket.destroy();
            resolve(false);
        });
        socket.on("error", () => resolve(true));
    });
    if (!isRefused) {
        await new Promise(resolve => setTimeout(resolve, 20));
        await untilRefused(port);
    }
};

// A stopping VM takes a further request on an open connection, or cuts a running stream.
test("front: in a stop a running stream ends whole, and its connection takes no further request", async t => {
    const { front, port, release, seen } = await start();
    const { socket, text, closed } = await open(port);
    socket.write(REQUEST);
    await until(() => text().includes("begun"));
    const drained = front.drain(60_000);
    // The listener is closed when the balancer sends nobody new; from then on no request is taken.
    await untilRefused(port);
    release.forEach(each => each());
    await closed;
    socket.write(REQUEST);
    t.is(text().split("\r\n\r\n").slice(1).join("|"), "5\r\nbegun\r\n0|");
    t.is(seen.requests, 1);
    await drained;
});

const malformed = [
    { name: "two lengths", text: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab" },
    {
        name: "a length and chunks",
        text: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    },
    {
        name: "a chunk size that is none",
        text: "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    },
    { name: "a space before a header's colon", text: "GET / HTTP/1.1\r\nHost: x\r\nA : b\r\n\r\n" },
    { name: "no HTTP", text: "what is this\r\n\r\n" },
];

// Bytes in which two parsers see different requests are passed on, and an endpoint runs one that nobody sent.
malformed.forEach(({ name, text }) => {
    test(`front: ${name} gets a 400 and the connection closes`, async t => {
        const { front, port, release } = await start();
        t.teardown(() => front.drain(0));
        const caller = await open(port);
        caller.socket.write(text);
        release.forEach(each => each());
        await caller.closed;
        t.regex(caller.text(), /HTTP\/1\.1 400 /);
    });
});
