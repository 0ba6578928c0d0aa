import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

import test from "ava";
import { request } from "undici";

import { createEndpointConnections } from "../../dispatch/createEndpointConnections.js";

const TIMEOUT_MS = 1_300;
/** When the process stands still, and for how long: the timeouts are due meanwhile, also to the half second of undici. */
const STILL_AFTER_MS = 1_100;
const STILL_MS = 500;
const HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";

const holdEventLoop = (ms: number): void => void Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);

const parts = {
    head: { before: "", late: `${HEAD}whole`, error: "UND_ERR_HEADERS_TIMEOUT" },
    body: { before: `${HEAD}wh`, late: "ole", error: "UND_ERR_BODY_TIMEOUT" },
} as const;

// Guards against an answer that is given up although it has arrived, as the process did not run when it did; and against
// one that is waited for without end.
(["head", "body"] as const).forEach(part =>
    ([true, false] as const).forEach(isSent =>
        (["pooled", "dedicated"] as const).forEach(kind => {
            const end = isSent
                ? "arrived while the process stood still: it is read"
                : "does not arrive: it is given up";
            test.serial(`silence of endpoints: ${kind}, the ${part} ${end}`, async t => {
                const { before, late, error } = parts[part];
                const server = createServer(socket => {
                    socket.on("error", () => undefined);
                    socket.once("data", () => {
                        socket.write(before);
                        const standStill = (): void => {
                            socket.write(isSent ? late : "");
                            holdEventLoop(STILL_MS);
                        };
                        // After an immediate, the event loop runs overdue timers before it reads.
                        setTimeout(() => setImmediate(standStill), STILL_AFTER_MS);
                    });
                });
                await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
                const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
                const connections = createEndpointConnections();
                const dispatcher = connections[kind](url);
                t.teardown(async () => {
                    await dispatcher.destroy();
                    await connections.stop();
                    server.close();
                });
                const answer = request(url, { dispatcher, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS })
                    .then(res => res.body.text());
                if (isSent) {
                    t.is(await answer, "whole");
                    return;
                }
                await t.throwsAsync(answer, { code: error });
            });
        })
    )
);

// Guards against an answer that is given up because its own reader is slow.
test.serial("silence of endpoints: the time in which the reader holds the body back does not count", async t => {
    const bytes = 8_000_000;
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once(
            "data",
            () => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: ${bytes}\r\n\r\n${"x".repeat(bytes)}`),
        );
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const connections = createEndpointConnections();
    t.teardown(async () => {
        await connections.stop();
        server.close();
    });
    const { body } = await request(url, { dispatcher: connections.pooled(url), bodyTimeout: TIMEOUT_MS });
    await new Promise(resolve => setTimeout(resolve, 2 * TIMEOUT_MS));
    t.is((await body.text()).length, bytes);
});
