import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

import test from "ava";

import { callOnce } from "../../dispatch/callOnce.js";
import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import { readerWaitMs } from "../../knowledge/readerWaitMs.js";

// A timeout with a fraction of a millisecond would throw and end the process.
test("callOnce: accepts a timeout with a fraction of a millisecond", async t => {
    const server = createServer((_req, res) => res.end("ok"));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const agent = new EndpointAgent(() => performance.now());
    const call = { method: "GET", target: "/", headers: ["Host", "store"], body: Buffer.alloc(0) };
    t.like(await callOnce(agent, address, call, 1_912.5), { kind: "answer", status: 200 });
    agent.destroy();
    server.close();
});

[6, 15, 40, 66].forEach(vms => {
    test(`declarations: a reader among ${vms} VMs waits an integral number of milliseconds`, t => {
        t.true(Number.isInteger(readerWaitMs(25 * vms)));
    });
});
