import type { Clock, EndpointName, FailureDomain, VmId } from "@azureshunt/core";
import test from "ava";

import { createPeerLoad } from "../../peers/createPeerLoad.js";
import type { VmRole } from "../../peers/VmRole.js";

const failureDomain = "fd" as FailureDomain;

type Received = readonly [atMs: number, vm: string, load: readonly (readonly [string, number])[]];
type Case = {
    readonly name: string;
    readonly received: readonly Received[];
    readonly readAt: number;
    readonly running: number;
};

// If the last load of a dead VM counted forever, it would keep requests away from an endpoint.
const cases: readonly Case[] = [
    { name: "nothing was received", received: [], readAt: 0, running: 0 },
    {
        name: "the loads of two VMs add up",
        received: [[0, "a", [["e", 2], ["f", 9]]], [0, "b", [["e", 3]]]],
        readAt: 1_000,
        running: 5,
    },
    {
        name: "a VM's new load replaces its last one",
        received: [[0, "a", [["e", 2]]], [200, "a", [["e", 1]]]],
        readAt: 300,
        running: 1,
    },
    {
        name: "a VM's new load replaces its last one also if it omits the endpoint",
        received: [[0, "a", [["e", 2]]], [200, "a", []]],
        readAt: 300,
        running: 0,
    },
    {
        name: "expired loads do not count",
        received: [[0, "a", [["e", 2]]], [900, "b", [["e", 4]]]],
        readAt: 1_500,
        running: 4,
    },
];

cases.forEach(({ name, received, readAt, running }) => {
    test(`peer load: ${name}`, t => {
        const time = { now: 0 };
        const clock: Clock = { now: () => time.now, epoch: () => time.now };
        const load = createPeerLoad({ clock, failureDomain, isRelay: () => true, roleOf: () => "relay" });
        received.forEach(([at, vm, shares]) => {
            time.now = at;
            load.applyBeacon({
                vm: vm as VmId,
                failureDomain,
                scope: "vm",
                relayedLoad: [],
                load: shares.map(([endpoint, count]) => [
                    endpoint as EndpointName,
                    { running: count, waitingTokens: 10 * count, memoryTokens: 100 * count },
                ]),
            });
        });
        time.now = readAt;
        t.deepEqual(load.at("e" as EndpointName), {
            running,
            waitingTokens: 10 * running,
            memoryTokens: 100 * running,
        });
    });
});

type Update = {
    readonly vm: string;
    readonly domain?: string;
    readonly scope?: "vm" | "domain" | "fleet";
    readonly own?: number;
    readonly relayed?: number;
};
type RelayCase = {
    readonly name: string;
    readonly isRelay: boolean;
    readonly updates: readonly Update[];
    /** Load that this VM counts, that it sends to another domain, and that it sends to the VM `leaf` of its own. */
    readonly at: number;
    readonly toDomain: number;
    readonly toLeaf: number;
};

const E = "e" as EndpointName;
const roles: Readonly<Record<string, VmRole>> = {
    leaf: "leaf",
    leaf2: "leaf",
    peerRelay: "relay",
    remote: "remote-relay",
};
const shareOf = (running: number) => ({ running, waitingTokens: 0, memoryTokens: 0 });
const rowsOf = (running: number | undefined) => running === undefined ? [] : [[E, shareOf(running)] as const];

// If load arrived in two ways, it would count twice; if a VM received its own load, it would avoid an endpoint without
// need.
const relayCases: readonly RelayCase[] = [
    {
        name: "a relay sends the load of its domain's VMs without that of the target",
        isRelay: true,
        updates: [{ vm: "leaf", own: 3 }, { vm: "leaf2", own: 4 }],
        at: 7,
        toDomain: 7,
        toLeaf: 4,
    },
    {
        name: "a relay leaves out the load of the other relay, which sends it itself",
        isRelay: true,
        updates: [{ vm: "leaf2", own: 4 }, { vm: "peerRelay", own: 9 }],
        at: 13,
        toDomain: 4,
        toLeaf: 4,
    },
    {
        name: "another domain's load goes to this domain's VMs only",
        isRelay: true,
        updates: [{ vm: "remote", domain: "fd2", scope: "domain", own: 1, relayed: 20 }],
        at: 21,
        toDomain: 0,
        toLeaf: 21,
    },
    {
        name: "the last relayed load of another domain counts",
        isRelay: true,
        updates: [
            { vm: "remote", domain: "fd2", scope: "domain", relayed: 20 },
            { vm: "remote", domain: "fd2", scope: "domain", relayed: 22 },
        ],
        at: 22,
        toDomain: 0,
        toLeaf: 22,
    },
    {
        name: "a VM that is no relay counts the relays' own load and the last sum",
        isRelay: false,
        updates: [{ vm: "peerRelay", scope: "fleet", own: 2, relayed: 30 }, {
            vm: "peerRelay",
            scope: "fleet",
            own: 2,
            relayed: 31,
        }],
        at: 33,
        toDomain: 0,
        toLeaf: 0,
    },
    {
        name: "load of a VM whose state comes through relays is ignored if it comes directly",
        isRelay: true,
        updates: [{ vm: "x", own: 5 }],
        at: 0,
        toDomain: 0,
        toLeaf: 0,
    },
];
relayCases.forEach(({ name, isRelay, updates, at, toDomain, toLeaf }) => {
    test(`peer load: ${name}`, t => {
        const load = createPeerLoad({
            clock: { now: () => 0, epoch: () => 0 },
            failureDomain,
            isRelay: () => isRelay,
            roleOf: vm => roles[vm] ?? "indirect",
        });
        updates.forEach(({ vm, domain, scope, own, relayed }) =>
            load.applyBeacon({
                vm: vm as VmId,
                failureDomain: (domain ?? failureDomain) as FailureDomain,
                scope: scope ?? "vm",
                load: own === undefined ? undefined : rowsOf(own),
                relayedLoad: rowsOf(relayed),
            })
        );
        t.is(load.at(E).running, at);
        t.is(load.relayedLoad("domain")(undefined)[0]?.[1].running ?? 0, toDomain);
        t.is(load.relayedLoad("fleet")("leaf" as VmId)[0]?.[1].running ?? 0, toLeaf);
    });
});

test("peer load: a change is sent once, also that nothing runs any more", t => {
    const clock: Clock = { now: () => 0, epoch: () => 0 };
    const load = createPeerLoad({ clock, failureDomain, isRelay: () => true, roleOf: () => "leaf" });
    const receive = (running: number | undefined): void =>
        load.applyBeacon({ vm: "leaf" as VmId, failureDomain, scope: "vm", load: rowsOf(running), relayedLoad: [] });
    const changes = (): readonly number[] =>
        load.relayedLoadChanges("domain")(undefined).map(([, share]) => share.running);
    receive(3);
    t.deepEqual(changes(), [3]);
    t.deepEqual(changes(), []);
    receive(undefined);
    t.deepEqual(changes(), [0]);
});

// Guards against unread bytes that are lost on the way over relays, or that count after they were read.
test("peer load: unread bytes add up, are relayed, and end with the next beacon without them", t => {
    const time = { now: 0 };
    const clock: Clock = { now: () => time.now, epoch: () => time.now };
    const load = createPeerLoad({ clock, failureDomain, isRelay: () => true, roleOf: vm => roles[vm] ?? "indirect" });
    const update = { failureDomain, scope: "vm", relayedLoad: [] } as const;
    const sent = (vm: string, unreadBytes: number) =>
        load.applyBeacon({ ...update, vm: vm as VmId, load: [[E, { ...shareOf(1), unreadBytes }]] });
    t.false(load.hasUnread());
    sent("leaf", 300);
    sent("leaf2", 400);
    t.true(load.hasUnread());
    t.is(load.at(E).unreadBytes, 700);
    t.deepEqual(load.relayedLoad("fleet")("leaf" as VmId), [[E, { ...shareOf(1), unreadBytes: 400 }]]);
    load.applyBeacon({ ...update, vm: "leaf" as VmId, load: [[E, shareOf(1)]] });
    t.is(load.at(E).unreadBytes, 400);
    time.now = 1_500;
    t.is(load.at(E).unreadBytes, undefined);
    t.false(load.hasUnread());
});
