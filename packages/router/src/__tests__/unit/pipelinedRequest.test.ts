import { createServer } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

import { createMetrics } from "@azureshunt/telemetry";
import test from "ava";

import type { CancelSignal } from "../../dispatch/CancelSignal.js";
import { createByteBudget } from "../../flow/createByteBudget.js";
import { watchCancellation } from "../../serve/watchCancellation.js";
import { silentLogger } from "../support/silentLogger.js";

const REQUEST = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
const BYTES = 1_000;
const DEADLINE_MS = 10_000;
const POLL_MS = 10;
const POLLS = 300;

// Guards against accounts that are never closed: Node emits `close` for the response that is being sent only, not for
// those queued behind it on the same connection.
["before", "after"].forEach(when => {
    test(`pipelined requests: a caller leaves ${when} the second one is opened: both accounts close`, async t => {
        const clock = { now: () => performance.now(), epoch: () => Date.now() };
        const byteBudget = createByteBudget({
            clock,
            budget: () => Infinity,
            logger: silentLogger,
            metrics: createMetrics(),
        });
        const signals: CancelSignal[] = [];
        const server = createServer((req, res) => {
            const open = (): void => {
                byteBudget.open(res).add(BYTES);
                const { signal, release } = watchCancellation(res, DEADLINE_MS);
                t.teardown(release);
                signals.push(signal);
                if (signals.length === 2) {
                    client.destroy();
                }
            };
            if (when === "before" && signals.length === 1) {
                client.destroy();
                req.socket.once("close", () => setImmediate(open));
                return;
            }
            open();
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        t.teardown(() => server.close());
        const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
        client.on("error", () => undefined);
        client.write(REQUEST + REQUEST);
        const isOver = (): boolean => signals.length === 2 && byteBudget.heldBytes() === 0;
        for (let i = 0; i < POLLS && !isOver(); i++) {
            await delay(POLL_MS);
        }
        t.is(byteBudget.heldBytes(), 0);
        t.deepEqual(signals.map(({ aborted }) => aborted), [true, true]);
    });
});
