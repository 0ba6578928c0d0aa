import type { EndpointName, FailureDomain, Incarnation, Millis, VmId } from "@azureshunt/core";
import test from "ava";

import { createAllowances } from "../../allowance/createAllowances.js";
import type { Beacon } from "../../peers/Beacon.js";
import { createMembership } from "../../peers/createMembership.js";
import { createPeerLoad } from "../../peers/createPeerLoad.js";
import { peerTiming } from "../../peers/peerTiming.js";
import { emptyBeacon } from "../support/emptyBeacon.js";
import { organisationOf } from "../support/organisationOf.js";

const own = "fd" as FailureDomain;
const remote = "fd-2" as FailureDomain;
const endpoint = "e" as EndpointName;
const PAUSE_MS = 10_000;
const RATE = 1_000;
const BURST = 20_000;
const organisation = organisationOf(RATE, BURST);

const beaconOf = (fields: Partial<Beacon>): Beacon => ({
    ...emptyBeacon,
    load: [[endpoint, { running: 3, waitingTokens: 0, memoryTokens: 0 }]],
    demand: 2,
    ...fields,
});
const counts = [own, remote].map(failureDomain => ({ failureDomain, vms: 5, silent: 0, ageMs: 0 }));
const beacons = [
    { name: "a peer", beacon: beaconOf({ vm: "vm-2" as VmId, failureDomain: own, capacity: 2 }) },
    {
        name: "a relay that counts all VMs",
        beacon: beaconOf({ vm: "vm-2" as VmId, failureDomain: own, capacity: 2, scope: "fleet", domains: counts }),
    },
    {
        name: "a relay of another failure domain",
        beacon: beaconOf({
            vm: "vm-3" as VmId,
            failureDomain: remote,
            scope: "domain",
            domains: [{ failureDomain: remote, vms: 5, silent: 0, ageMs: 0 }],
        }),
    },
];

/** Starts the parts of a VM that judge its peers by silence; `pass` lets time pass, in which it may not run. */
const startVm = () => {
    const time = { now: 60_000 };
    const clock = { now: () => time.now, epoch: () => time.now };
    const self = { vm: "vm-1" as VmId, incarnation: "own" as Incarnation, failureDomain: own, capacity: 1, seeds: [] };
    const membership = createMembership(clock, self);
    const allowances = createAllowances(clock, membership.liveness, () => 0);
    allowances.open([organisation]);
    const { isRelay, roleOf } = membership;
    const peerLoad = createPeerLoad({ clock, failureDomain: own, isRelay, roleOf });
    const receive = (beacon: Beacon): void => {
        if (membership.applyBeacon(beacon, "10.0.0.2:1") !== undefined) {
            allowances.applyBeacon(beacon, membership.roleOf(beacon.vm));
            peerLoad.applyBeacon(beacon);
        }
    };
    const pass = (ms: Millis, isPaused = false): void => {
        time.now += ms;
        [membership, allowances, peerLoad].forEach(part => isPaused ? part.onPaused(ms) : undefined);
    };
    const view = () => ({
        isAlone: membership.isAlone(),
        live: membership.livePeers().map(({ vm }) => vm),
        relays: membership.relays(),
        liveness: membership.liveness(),
        domainSilentMs: membership.domainSilentMs(remote),
        demand: membership.demand(),
        running: peerLoad.at(endpoint).running,
        reachesOtherDomains: membership.reachesOtherDomains(),
    });
    return { time, membership, allowances, receive, pass, view };
};

beacons.forEach(({ name, beacon }) => {
    // Before a VM that did not run has read what was sent meanwhile, it takes live peers for silent or gone.
    test(`silence of peers: only time in which this process ran counts: ${name}`, t => {
        const vm = startVm();
        vm.receive(beacon);
        vm.pass(100);
        const before = vm.view();
        t.false(before.isAlone);
        vm.pass(PAUSE_MS, true);
        t.deepEqual(vm.view(), before);
    });

    // A VM that has ended during the pause is taken for alive for longer than one that ends at another time.
    test(`silence of peers: after a pause it counts as before: ${name}`, t => {
        const [paused, running] = [startVm(), startVm()];
        [paused, running].forEach(vm => vm.receive(beacon));
        paused.pass(PAUSE_MS, true);
        [paused, running].forEach(vm => vm.pass(peerTiming.aliveMs));
        t.true(paused.view().isAlone);
        t.deepEqual(paused.view(), running.view());
    });
});

// Told as seen lately by a VM that did not run, a VM that has ended since seems to be alive to all others again.
test("silence of peers: what a VM tells of the others is as old as it is", t => {
    const vm = startVm();
    vm.receive(beaconOf({ vm: "vm-2" as VmId, failureDomain: own, capacity: 2 }));
    vm.pass(100);
    vm.pass(PAUSE_MS, true);
    t.deepEqual(vm.membership.memberFields("vm").vms.map(({ ageMs }) => ageMs), [100 + PAUSE_MS]);
});

// The same, for a beacon that was sent before the pause and is read after it.
test("silence of peers: a beacon that lay unread is told as old as it is", t => {
    const vm = startVm();
    const echo = { incarnation: "own" as Incarnation, sentAt: vm.time.now, heldMs: 0 };
    vm.pass(PAUSE_MS, true);
    vm.receive(beaconOf({ vm: "vm-2" as VmId, failureDomain: own, capacity: 2, echo }));
    t.false(vm.view().isAlone);
    t.deepEqual(vm.membership.memberFields("vm").vms.map(({ ageMs }) => ageMs), [PAUSE_MS]);
});

const spenders: readonly { readonly name: string; readonly spent: (tokens: number) => Partial<Beacon>; }[] = [
    { name: "a peer's", spent: tokens => ({ spent: [[organisation.id, tokens, 0]] }) },
    {
        name: "what a relay sums up",
        spent: tokens => ({ scope: "fleet", domains: counts, relayedSpent: [[organisation.id, tokens, 0]] }),
    },
];

// If the counters expire, the rate of the pause is refilled, but what the others spent of it is not debited.
spenders.forEach(({ name, spent }) => {
    test(`silence of peers: spending during a pause is debited: ${name}`, t => {
        const vm = startVm();
        const send = (tokens: number, at: Millis): void =>
            vm.receive(beaconOf({ vm: "vm-2" as VmId, failureDomain: own, capacity: 2, sentAt: at, ...spent(tokens) }));
        [0, 200, 400].forEach(at => {
            vm.pass(200);
            send(1_000, at);
        });
        vm.pass(PAUSE_MS, true);
        send(1_000 + BURST, PAUSE_MS);
        t.true(vm.allowances.spend(organisation, RATE).isLeft());
    });
});
