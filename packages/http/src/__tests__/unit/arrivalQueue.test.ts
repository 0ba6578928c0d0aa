import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";

import test from "ava";

import { createArrivalQueue } from "../../createArrivalQueue.js";
import { createRequestGate } from "../../createRequestGate.js";

const REQUEST = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const MAX_WAITING = 3;
const CALLERS = 8;
/** Longer than what a connection may wait without room. */
const WAITED_MS = 1_300;

const cases = [
    { name: "all are read while there is room", roomAfterMs: 0, answers: [8, 8], refused: 0, waiting: 0 },
    { name: "some wait for room, others are refused", roomAfterMs: 300, answers: [0, 3], refused: 5, waiting: 3 },
    {
        name: "those that have waited for long are read",
        roomAfterMs: Infinity,
        answers: [0, 3],
        refused: 5,
        waiting: 3,
    },
] as const;

// Guards against callers that are refused for memory though a little later there is room for them.
cases.forEach(({ name, roomAfterMs, answers, refused, waiting }) => {
    test.serial(`arrival queue: ${name}`, async t => {
        const startedAt = performance.now();
        const returns: number[] = [];
        const accepted: Socket[] = [];
        const server = createServer((_req, res) => void res.end());
        createRequestGate().attach(server);
        const queue = createArrivalQueue({
            maxWaiting: () => MAX_WAITING,
            hasRoom: () => performance.now() - startedAt >= roomAfterMs,
            refuse: (socket, retryAfterMs) => {
                returns.push(performance.now() + retryAfterMs);
                socket.end();
            },
        });
        queue.attach(server);
        server.on("connection", (socket: Socket) => void accepted.push(socket));
        await once(server.listen(0, "127.0.0.1"), "listening");
        const seen = { answers: 0 };
        const callers = Array.from({ length: CALLERS }, () => {
            const caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
            caller.on("data", () => {
                seen.answers += 1;
            });
            caller.write(REQUEST);
            return caller;
        });
        t.teardown(() => {
            callers.forEach(caller => caller.destroy());
            server.closeAllConnections();
            server.close();
        });
        await pause(150);
        t.is(seen.answers, answers[0]);
        t.is(queue.size(), waiting);
        const waitingBytes = accepted.filter(queue.isWaiting).map(socket => socket.bytesRead);
        t.deepEqual(waitingBytes, Array.from({ length: waiting }, () => 0), "nothing is read of those that wait");
        await pause(WAITED_MS);
        t.is(seen.answers, answers[1]);
        t.is(returns.length, refused);
        t.true(returns.every((at, i) => i === 0 || at > (returns[i - 1] ?? 0)), "they return one after another");
    });
});
