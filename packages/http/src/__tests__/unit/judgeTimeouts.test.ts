import { createServer } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";

import test from "ava";

import { createRequestGate } from "../../createRequestGate.js";
import { judgeTimeouts } from "../../judgeTimeouts.js";

const TIMEOUT_MS = 200;
const HEAD = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100000\r\n";

// Guards against a request that is never complete and holds its connection for ever, as a byte comes whenever it is judged.
[
    { name: "head", start: `${HEAD}x: ` },
    { name: "body", start: `${HEAD}\r\n` },
].forEach(({ name, start }) => {
    test(`judgeTimeouts: a ${name} that arrives byte by byte is refused in the end`, async t => {
        const times = { requestTimeout: TIMEOUT_MS, headersTimeout: TIMEOUT_MS, connectionsCheckingInterval: 20 };
        const server = createServer(times, req => req.resume());
        const gate = createRequestGate();
        gate.attach(server);
        const refused = new Promise<string | undefined>(resolve =>
            judgeTimeouts(server, {
                reading: gate.reading,
                refuse: (err, socket) => {
                    socket.destroy();
                    resolve(err.code);
                },
            })
        );
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
        caller.on("error", () => undefined);
        caller.write(start);
        const timer = setInterval(() => caller.writable && caller.write("x"), 1);
        t.teardown(() => {
            clearInterval(timer);
            caller.destroy();
            server.close();
        });
        t.is(await refused, "ERR_HTTP_REQUEST_TIMEOUT");
    });
});
