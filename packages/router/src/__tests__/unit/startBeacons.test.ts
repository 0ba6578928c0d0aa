import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import { once } from "node:events";

import { createClock } from "@azureshunt/core";
import type { Incarnation } from "@azureshunt/core";
import test from "ava";

import { decodeBeacon } from "../../peers/decodeBeacon.js";
import { startBeacons } from "../../peers/startBeacons.js";
import { emptyBeacon } from "../support/emptyBeacon.js";
import { until } from "../support/until.js";

const HOST = "127.0.0.1";
/** More than it takes the socket to close, and the least time between two urgent sends. */
const AFTER_CLOSE_MS = 100;

const openSocket = async (): Promise<Socket> => {
    const socket = createSocket("udp4").bind(0, HOST);
    await once(socket, "listening");
    return socket;
};
const addressOf = (socket: Socket): string => `${HOST}:${socket.address().port}`;

/** Starts to send beacons to a socket, and collects what arrives there. */
const start = async (targets: (peer: string) => readonly string[] = peer => [peer]) => {
    const peer = await openSocket();
    const received: Buffer[] = [];
    peer.on("message", datagram => received.push(datagram));
    const own = await openSocket();
    const address = addressOf(own);
    own.close();
    await once(own, "close");
    const faults: (Error | undefined)[] = [];
    const to = targets(addressOf(peer)).map(each => ({ address: each, vm: undefined, scope: "vm" as const }));
    const beacons = startBeacons({
        clock: createClock(),
        self: { ...emptyBeacon, incarnation: "run" as Incarnation },
        address,
        targets: () => to,
        usualTargets: () => to,
        intervalMs: () => 10_000,
        memberFields: () => ({ vms: [], domains: [] }),
        localState: () => emptyBeacon,
        ordered: () => [],
        drainCached: () => [],
        drainRelayed: () => [],
        relayedSums: () => () => emptyBeacon,
        relayedLoadChanges: () => () => [],
        onBeacon: () => undefined,
        onSent: () => undefined,
        onFault: (_, err) => void faults.push(err),
        receiveOther: () => false,
        claim: (_, bind) => bind(),
    });
    await beacons.listening;
    await until(() => received.length > 0);
    return { beacons, peer, received, faults };
};
type Started = Awaited<ReturnType<typeof start>>;

const cases: readonly { readonly name: string; readonly act: (started: Started) => void; }[] = [
    { name: "an urgent send is asked for", act: ({ beacons }) => beacons.sendSoon() },
    {
        name: "a datagram of another kind is sent",
        act: ({ beacons, peer }) => beacons.send(Buffer.from("x"), addressOf(peer)),
    },
    { name: "it stops again", act: ({ beacons }) => beacons.stop() },
];
// Guards against a process that ends, with the requests that still run, as a VM that stops sends on its closed socket, and
// against a beacon behind the last one, by which peers would take the VM for a running one.
cases.flatMap(each => [{ ...each, when: "right after" }, { ...each, when: "once the socket is closed" }]).forEach(
    ({ name, act, when }) => {
        test(`beacons after their stop: nothing fails if ${name} ${when}`, async t => {
            const started = await start();
            const { beacons, peer, received } = started;
            t.teardown(() => peer.close());
            const wait = (): Promise<void> => new Promise(resolve => setTimeout(resolve, AFTER_CLOSE_MS));
            beacons.stop();
            if (when !== "right after") {
                await wait();
            }
            t.notThrows(() => act(started));
            // An error that reaches nobody ends this test's process.
            await wait();
            t.deepEqual(received.flatMap(datagram => decodeBeacon(datagram)?.isLeaving ?? []), [false, true]);
        });
    },
);

// Guards against a process that ends because a peer names a VM at an address to which nothing can be sent.
["", "x", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:x", "300.0.0.1:7600"].forEach(wrong => {
    test(`beacons to ${JSON.stringify(wrong)}: it is a fault, and the others are sent`, async t => {
        const { beacons, peer, faults } = await start(right => [wrong, right]);
        t.teardown(() => {
            beacons.stop();
            peer.close();
        });
        await until(() => faults.length > 0);
        t.true(faults[0] instanceof Error);
    });
});
