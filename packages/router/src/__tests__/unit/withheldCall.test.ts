import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

import test from "ava";

import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import { openCall } from "../../dispatch/openCall.js";

// Opening a connection may outlast the caller; bytes that go out then run a request for nobody.
test("openCall: a call whose time is up once its connection is open sends no byte and counts as cancelled", async t => {
    const received = { bytes: 0 };
    const endpoint = createServer(socket => {
        socket.on("error", () => undefined);
        socket.on("data", data => {
            received.bytes += data.length;
        });
    });
    await new Promise<void>(resolve => endpoint.listen(0, "127.0.0.1", resolve));
    t.teardown(() => endpoint.close());
    const agent = new EndpointAgent(() => performance.now());
    t.teardown(() => agent.destroy());
    const opened = await openCall(agent, {
        address: `127.0.0.1:${(endpoint.address() as AddressInfo).port}`,
        method: "POST",
        target: "/",
        headers: ["Host", "x", "Content-Length", "5"],
        body: Buffer.from("hello"),
        maxIdleMs: 1_000,
        headMs: 1_000,
        maySend: () => false,
    }, new AbortController().signal);
    t.is(opened.kind, "cancelled");
    // The endpoint would have received bytes that had been written by then.
    await new Promise(resolve => setTimeout(resolve, 50));
    t.is(received.bytes, 0);
});
