import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

import test from "ava";
import type { ExecutionContext } from "ava";

import { afterPendingReads } from "../../afterPendingReads.js";
import { startTimeout } from "../../startTimeout.js";

const TIMEOUT_MS = 50;

const holdEventLoop = (ms: number): void => void Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);

const connectPair = async (t: ExecutionContext): Promise<readonly [Socket, Socket]> => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const accepted = new Promise<Socket>(resolve => server.once("connection", resolve));
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    const peer = await accepted;
    t.teardown(() => {
        [socket, peer].forEach(each => each.destroy());
        server.close();
    });
    return [socket, peer];
};

// Guards against bytes that count as not sent, as the timer for them runs before they are read.
test.serial("startTimeout: what arrived while the process stood still cancels it", async t => {
    const [socket, peer] = await connectPair(t);
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
});

// Guards against the same in a process that stood still between its poll and what runs after it.
test.serial("startTimeout: what arrived after the poll, while the process stood still, cancels it", async t => {
    const [[socket, peer], [other, otherPeer]] = [await connectPair(t), await connectPair(t)];
    const seen: string[] = [];
    const state = { cancel: (): void => undefined };
    socket.once("data", () => {
        seen.push("read");
        state.cancel();
    });
    other.once("data", () => {
        peer.write("a");
        holdEventLoop(TIMEOUT_MS);
    });
    setTimeout(() => {
        otherPeer.write("b");
        state.cancel = afterPendingReads(() => seen.push("expired"));
    }, 0);
    await new Promise(resolve => setTimeout(resolve, 4 * TIMEOUT_MS));
    t.deepEqual(seen, ["read"]);
});

test.serial("startTimeout: it expires without anything that cancels it, and not after it was cancelled", async t => {
    const seen: string[] = [];
    startTimeout(TIMEOUT_MS, () => seen.push("expired"));
    startTimeout(TIMEOUT_MS, () => seen.push("cancelled"))();
    await new Promise(resolve => setTimeout(resolve, 2 * TIMEOUT_MS));
    t.deepEqual(seen, ["expired"]);
});
