import { setTimeout as sleep } from "node:timers/promises";

import { openCaller } from "@azureshunt/platform/dist/__tests__/support/openCaller.js";
import test from "ava";
import type { ExecutionContext } from "ava";

import { waitUntil } from "../../topology/waitUntil.js";
import { startLoneDaemon } from "../support/startLoneDaemon.js";

const STOPPED = { code: 0, signal: null };
const TIMEOUT_MS = 10_000;
const CALLERS = 60;
const REQUEST = "GET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n";
/** Bytes of a body that is refused and still on its way. */
const BODY_BYTES = 10_000;
const PIECES = 10;

const startServingDaemon = async (t: ExecutionContext) => {
    const vm = await startLoneDaemon(t.teardown);
    vm.writeSettings();
    const daemon = vm.launch();
    await vm.waitUntilListening();
    await vm.release();
    const [address, admin] = [vm.ports.caller, vm.ports.admin].map(port => `127.0.0.1:${port}`) as [string, string];
    return { daemon, address, admin };
};

const open = async (address: string) => {
    const caller = await openCaller(address);
    if (caller === undefined) {
        throw new Error("the port takes no connection");
    }
    return caller;
};

const untilPortCloses = (address: string) =>
    waitUntil("the port to close", TIMEOUT_MS, async () => {
        const caller = await openCaller(address);
        caller?.socket.destroy();
        return caller === undefined;
    });

/** Opens a connection for each request, one after the other, until the daemon takes none. */
const askOnNewConnections = async (address: string, seen: Map<string, number>): Promise<void> => {
    for (let caller = await openCaller(address); caller !== undefined; caller = await openCaller(address)) {
        const { socket, statuses, closed } = caller;
        socket.write(REQUEST);
        socket.once("data", () => socket.end());
        const error = await closed;
        const end = statuses()[0] ?? error ?? "closed";
        seen.set(end, (seen.get(end) ?? 0) + 1);
    }
};

// Guards against resets of connections that wait in the system's queue, or are accepted and unread, as the port closes.
(["callers", "operators"] as const).forEach(who => {
    test.serial(`stopping daemon: ${who} on new connections are answered`, async t => {
        const { daemon, address, admin } = await startServingDaemon(t);
        const seen = new Map<string, number>();
        const asked = Array.from(
            { length: CALLERS },
            () => askOnNewConnections(who === "callers" ? address : admin, seen),
        );
        await sleep(500);
        daemon.signal("SIGTERM");
        await Promise.all(asked);
        t.deepEqual([...seen.keys()].filter(end => !/^\d{3}$/.test(end)), [], JSON.stringify([...seen]));
        t.deepEqual(await daemon.exit, STOPPED);
    });
});

// Guards against a reset of a connection whose request is sent as the port closes.
test.serial("stopping daemon: a request on a connection that was silent until the port closed is answered", async t => {
    const { daemon, address } = await startServingDaemon(t);
    const caller = await open(address);
    daemon.signal("SIGTERM");
    await untilPortCloses(address);
    caller.socket.write(REQUEST);
    t.is(await caller.closed, undefined);
    t.deepEqual(caller.statuses(), ["401"]);
    t.deepEqual(await daemon.exit, STOPPED);
});

test.serial("stopping daemon: a connection that stays silent does not hold the stop", async t => {
    const { daemon, address } = await startServingDaemon(t);
    const caller = await open(address);
    daemon.signal("SIGTERM");
    t.is(await caller.closed, undefined);
    t.deepEqual(await daemon.exit, STOPPED);
});

// Guards against a reset that discards a refusal, as its request's body is still on the way.
test.serial("stopping daemon: a caller that sends its body, and reads then, gets its refusal", async t => {
    const { daemon, address } = await startServingDaemon(t);
    const caller = await open(address);
    caller.socket.pause();
    daemon.signal("SIGTERM");
    await untilPortCloses(address);
    caller.socket.write(`POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`);
    const piece = "x".repeat(BODY_BYTES / PIECES);
    for (let sent = 0; sent < PIECES; sent += 1) {
        caller.socket.write(piece);
        await sleep(10);
    }
    caller.socket.resume();
    t.is(await caller.closed, undefined);
    t.deepEqual(caller.statuses(), ["401"]);
    t.deepEqual(await daemon.exit, STOPPED);
});
