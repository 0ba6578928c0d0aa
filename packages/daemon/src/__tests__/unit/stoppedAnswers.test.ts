import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { connect } from "node:net";

import { createDrainLog } from "@azureshunt/http";
import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";
import pino from "pino";

import { startDrainingServer } from "../../gateway/startDrainingServer.js";

const WITHIN_MS = 300;
const BODY_BYTES = 70_000;
const cases = [
    { name: "that has not begun is a 502", bodyBytes: 0, begun: "", expected: /^HTTP\/1\.1 502 [^]*answer-lost/ },
    {
        name: "to a long body that has not begun is a 502",
        bodyBytes: BODY_BYTES,
        begun: "",
        expected: /^HTTP\/1\.1 502 [^]*answer-lost/,
    },
    { name: "that has begun is cut off", bodyBytes: 0, begun: "part", expected: /^HTTP\/1\.1 200 [^]*part\r\n$/ },
];

// Guards against requests that the daemon has read and that end without an answer, as the time to stop is up.
cases.forEach(({ name, bodyBytes, begun, expected }) => {
    test(`stopped answers: as the time is up, an answer ${name}`, async t => {
        const { server, drain } = await startDrainingServer({
            address: "127.0.0.1:0",
            claim: (_address, bind) => bind(),
            tls: undefined,
            limits: { headerBytes: 16_384, connections: 10 } as Parameters<typeof startDrainingServer>[0]["limits"],
            drainLog: createDrainLog(createMetrics(), pino({ level: "silent" })),
            handler: (req, res) => void req.resume().on("end", () => begun === "" ? undefined : res.write(begun)),
        });
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        const seen: string[] = [];
        socket.on("data", data => seen.push(data.toString()));
        socket.on("error", err => seen.push(err.message));
        const handled = once(server, "request");
        socket.write(`POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${bodyBytes}\r\n\r\n`);
        socket.write("b".repeat(bodyBytes));
        await handled;
        const closed = once(socket, "close");
        await drain(0, WITHIN_MS);
        await closed;
        t.regex(seen.join(""), expected);
    });
});
