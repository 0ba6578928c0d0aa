import type { ServerResponse } from "node:http";
import { connect, createServer } from "node:net";
import type { AddressInfo } from "node:net";

import test from "ava";

import type { CallerWire } from "../../ports/CallerWire.js";
import type { RouterSettings } from "../../RouterSettings.js";
import { createRunClaims } from "../../serve/createRunClaims.js";
import { startCallerServer } from "../../serve/startCallerServer.js";

const WITHIN_MS = 300;
const freePort = (): Promise<number> =>
    new Promise(resolve => {
        const server = createServer().listen(0, "127.0.0.1", () => {
            const { port } = server.address() as AddressInfo;
            server.close(() => resolve(port));
        });
    });

// Guards against a request that has not run being answered as if it might have, and against one that runs after it was refused.
[
    { isPassedOn: false, status: "503", passesOnLater: false },
    { isPassedOn: true, status: "502", passesOnLater: true },
].forEach(({ isPassedOn, status, passesOnLater }) => {
    test(`stopped requests: one that was ${isPassedOn ? "" : "not "}passed on is answered ${status} as the time is up`, async t => {
        const [callers, ready] = await Promise.all([freePort(), freePort()]);
        const runClaims = createRunClaims();
        const handled: ServerResponse[] = [];
        const server = await startCallerServer({
            settings: {
                listen: { callers: `127.0.0.1:${callers}`, ready: `127.0.0.1:${ready}` },
            } as unknown as RouterSettings,
            handler: async (_req, res) => {
                handled.push(res);
                await new Promise<void>(resolve => res.once("close", resolve));
            },
            runClaims,
            callerWire: { encodeRefusal: () => ({ headers: [], body: "" }) } as unknown as CallerWire,
            limits: () => undefined,
            isReady: () => true,
            drainLog: { portClosed: () => undefined, ended: () => undefined, refused: () => undefined },
        });
        const received: string[] = [];
        const socket = connect(callers, "127.0.0.1");
        const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
        socket.on("data", (bytes: Buffer) => received.push(bytes.toString()));
        socket.on("error", (err: NodeJS.ErrnoException) => received.push(err.code ?? ""));
        socket.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        while (handled.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        const [res] = handled;
        t.true(res !== undefined && (!isPassedOn || runClaims.passOn(res)));
        await server.drain(WITHIN_MS);
        await closed;
        t.is(received.join("").slice("HTTP/1.1 ".length, "HTTP/1.1 503".length), status);
        t.is(res !== undefined && runClaims.passOn(res), passesOnLater);
    });
});
