import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

import { defaultBounds } from "@azureshunt/flow";
import test from "ava";

import { EndpointAgent } from "../../dispatch/EndpointAgent.js";
import { openCall } from "../../dispatch/openCall.js";

const PROGRESS_MS = 300;
const WORK_MS = 1_500;
const DRIP_MS = 50;
const EARLY_ANSWER = "HTTP/1.1 102 Processing\r\n\r\n";
const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Guards against cutting off an endpoint that announces its work and then does it, and against an endpoint that is read
// until the deadline although its bytes never become a head.
const cases: readonly {
    readonly name: string;
    readonly write: (socket: Socket) => void;
    readonly outcome: "head" | "broken";
}[] = [
    {
        name: "a 102, work without a word, and an answer",
        write: socket => {
            socket.write(EARLY_ANSWER);
            setTimeout(() => socket.write(ANSWER), WORK_MS);
        },
        outcome: "head",
    },
    {
        name: "a 102 now and then",
        write: socket => {
            const timer = setInterval(() => socket.write(EARLY_ANSWER), DRIP_MS);
            socket.on("close", () => clearInterval(timer));
        },
        outcome: "broken",
    },
];
cases.forEach(({ name, write, outcome }) => {
    test(`silent head: ${name}: ${outcome}`, async t => {
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => write(socket));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        t.teardown(() => server.close());
        const agent = new EndpointAgent(() => performance.now());
        t.teardown(() => agent.destroy());
        const opened = await openCall(
            agent,
            {
                address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
                method: "GET",
                target: "/",
                headers: ["Host", "x"],
                body: Buffer.alloc(0),
                maxIdleMs: 10_000,
                headMs: 5_000,
                bounds: { ...defaultBounds, progressMs: PROGRESS_MS },
            },
            new AbortController().signal,
        );
        t.is(opened.kind, outcome);
    });
});
