import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

import test from "ava";

import { startTimeout } from "../../startTimeout.js";

const TIMEOUT_MS = 50;

const holdEventLoop = (ms: number): void => void Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);

// Guards against bytes that count as not sent, as the timer for them runs before they are read.
test.serial("startTimeout: what arrived while the process stood still cancels it", async t => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const accepted = new Promise<Socket>(resolve => server.once("connection", resolve));
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const peer = await accepted;
    const seen: string[] = [];
    const cancel = startTimeout(TIMEOUT_MS, () => seen.push("expired"));
    socket.once("data", () => {
        seen.push("read");
        cancel();
    });
    setTimeout(() => {
        peer.write("a");
        // Other timers that are overdue after this one run before anything is read.
        holdEventLoop(2 * TIMEOUT_MS);
    }, TIMEOUT_MS / 2);
    await new Promise(resolve => setTimeout(resolve, 4 * TIMEOUT_MS));
    t.deepEqual(seen, ["read"]);
    [socket, peer].forEach(each => each.destroy());
    server.close();
});

test.serial("startTimeout: it expires without anything that cancels it, and not after it was cancelled", async t => {
    const seen: string[] = [];
    startTimeout(TIMEOUT_MS, () => seen.push("expired"));
    startTimeout(TIMEOUT_MS, () => seen.push("cancelled"))();
    await new Promise(resolve => setTimeout(resolve, 2 * TIMEOUT_MS));
    t.deepEqual(seen, ["expired"]);
});
