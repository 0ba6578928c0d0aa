import { createServer, request } from "node:http";
import type { IncomingMessage } from "node:http";
import type { AddressInfo } from "node:net";

import test from "ava";

import { stopListening } from "../../stopListening.js";

/** More than the system buffers for a connection. */
const BODY = Buffer.alloc(24 * 1024 * 1024, "x");

// Guards against an answer that loses its end because the port is closed while its caller reads slowly.
test("stop listening: an answer that has ended and is not sent yet stays whole", async t => {
    const state = { ended: (): void => undefined };
    const hasEnded = new Promise<void>(resolve => {
        state.ended = resolve;
    });
    const server = createServer((_req, res) => {
        res.end(BODY);
        state.ended();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const res = await new Promise<IncomingMessage>((resolve, reject) =>
        request({ host: "127.0.0.1", port, agent: false }, resolve).on("error", reject).end()
    );
    await hasEnded;
    stopListening(server);
    const sizes: number[] = [];
    res.on("data", (chunk: Buffer) => sizes.push(chunk.length));
    await new Promise(resolve => res.on("close", resolve));
    t.is(sizes.reduce((sum, size) => sum + size, 0), BODY.length);
    t.true(res.complete);
    t.false(server.listening);
});
