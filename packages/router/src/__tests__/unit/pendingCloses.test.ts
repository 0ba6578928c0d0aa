import { createServer } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";

import { readBody } from "@azureshunt/http";
import test from "ava";

import { createTickLag } from "../../serve/createTickLag.js";
import { processPendingCloses } from "../../serve/processPendingCloses.js";
import { watchCancellation } from "../../serve/watchCancellation.js";

const BUSY_MS = 100;
const DEADLINE_MS = 10_000;
const REQUEST = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";

const beBusy = (): void => {
    const end = performance.now() + BUSY_MS;
    while (performance.now() < end) { /* The process must not read anything meanwhile. */ }
};

type Case = { readonly name: string; readonly leave: (socket: Socket) => void; readonly left: boolean; };

// A process that runs late reads a request after its caller has left; sent on, it would run for nobody.
const cases: readonly Case[] = [
    { name: "closes the connection", leave: socket => void socket.destroy(), left: true },
    { name: "resets the connection", leave: socket => void socket.resetAndDestroy(), left: true },
    { name: "still waits", leave: () => undefined, left: false },
];
cases.forEach(({ name, leave, left }) => {
    test.serial(`pending closes: a caller that ${name} before its request is read: ${left ? "cancelled" : "served"}`, async t => {
        const outcome = new Promise<boolean>(resolve => {
            const server = createServer((req, res) => {
                req.on("error", () => undefined);
                const { signal, release } = watchCancellation(res, DEADLINE_MS);
                t.teardown(release);
                void readBody(req, 1_000).then(processPendingCloses).then(() => resolve(signal.aborted)).finally(() =>
                    res.end()
                );
            });
            server.listen(0, "127.0.0.1", () => {
                const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
                socket.on("error", () => undefined);
                // The server has accepted the connection by then.
                setTimeout(() => {
                    socket.write(REQUEST, () => {
                        leave(socket);
                        setImmediate(beBusy);
                    });
                    beBusy();
                }, BUSY_MS);
            });
            t.teardown(() => server.close());
            t.teardown(() => server.closeAllConnections());
        });
        t.is(await outcome, left);
    });
});

// What has waited longest is read after the tick that comes late, so the process still counts as late then.
test("tick lag: late once two intervals are overdue, and for a second after the tick that was", t => {
    const time = { now: 0 };
    const watch = createTickLag({ now: () => time.now, epoch: () => time.now }, 100);
    const lagAt = (now: number): boolean => {
        time.now = now;
        return watch.isLagging();
    };
    t.deepEqual([0, 100, 200, 201].map(lagAt), [false, false, false, true]);
    watch.tick();
    t.deepEqual([202, 1_200].map(lagAt), [true, true]);
    watch.tick();
    time.now = 2_200;
    watch.tick();
    t.true(lagAt(3_100));
    Array.from({ length: 12 }, (_, i) => 3_200 + i * 100).forEach(now => {
        time.now = now;
        watch.tick();
    });
    t.false(lagAt(4_400));
});
