import type { Clock, Incarnation, Millis, VmId } from "@azureshunt/core";
import type { Pause } from "@azureshunt/lifecycle";

import { createAllowances } from "../../allowance/createAllowances.js";
import type { Organisation } from "../../configuration/Organisation.js";
import type { Beacon } from "../../peers/Beacon.js";
import { collectRelayedSums } from "../../peers/collectRelayedSums.js";
import { createBeaconExchange } from "../../peers/createBeaconExchange.js";
import { createMembership } from "../../peers/createMembership.js";
import { createPeerLoad } from "../../peers/createPeerLoad.js";
import { createRelayBuffer } from "../../peers/createRelayBuffer.js";
import type { ListedVm } from "../../peers/ListedVm.js";
import type { LocalState } from "../../peers/LocalState.js";
import type { ReceivedBeacon } from "../../peers/ReceivedBeacon.js";
import { createVirtualTime } from "./createVirtualTime.js";
import { listedVm } from "./listedVm.js";

type Exchange = ReturnType<typeof createBeaconExchange>;

/** One simulated VM, with the parts that send beacons to peers and apply theirs. */
type FleetVm = {
    readonly listed: ListedVm;
    readonly clock: Clock;
    /** Runs a function of this VM's process after a delay, or once the process runs again. */
    readonly schedule: ReturnType<typeof createVirtualTime>["schedule"];
    readonly isPaused: () => boolean;
    readonly membership: ReturnType<typeof createMembership>;
    readonly allowances: ReturnType<typeof createAllowances>;
    readonly peerLoad: ReturnType<typeof createPeerLoad>;
    readonly exchange: Exchange;
    /** State that this VM sends; tests change it. */
    readonly localState: { current: () => Partial<LocalState>; cached: Beacon["cached"]; };
    /** Prompt parts that it has received, as `holder/key`. */
    readonly receivedParts: Set<string>;
};

/** A time in which a VM's process does not run, while its monotonic clock goes on (`counted`) or stands still. */
type SimulatedPause = {
    readonly vm: VmId;
    readonly at: Millis;
    readonly forMs: Millis;
    readonly kind: Pause["kind"];
};

type FleetParts = {
    readonly pauses?: readonly SimulatedPause[];
    /** Called as a VM runs again, before it handles what has arrived meanwhile; and after each of these. */
    readonly onResumed?: (vm: FleetVm, kind: Pause["kind"]) => void;
    readonly onCaughtUp?: (vm: FleetVm) => void;
    readonly domains: number;
    readonly vmsPerDomain: number;
    readonly random: () => number;
    /** Fraction of the datagrams that are lost. */
    readonly loss?: number;
    /** Whether a datagram is delivered if it is sent now. */
    readonly isOpen?: (from: ListedVm, to: ListedVm) => boolean;
    readonly organisations?: readonly Organisation[];
    readonly onStart?: (vm: FleetVm) => void;
    readonly onReceived?: (vm: VmId, received: ReceivedBeacon) => void;
};

/** Simulated VMs in virtual time. */
type RelayFleet = {
    readonly clock: Clock;
    readonly schedule: ReturnType<typeof createVirtualTime>["schedule"];
    readonly runUntil: (end: Millis) => void;
    /** The running VMs. */
    readonly vms: () => readonly FleetVm[];
    readonly vm: (vm: string) => FleetVm;
    readonly kill: (vm: VmId) => void;
    /** Starts a VM, which knows the VMs of the VM list. */
    readonly start: (listed: ListedVm) => void;
    /** Since the last call: number of datagrams, bytes between failure domains, and bytes of the largest datagram. */
    readonly takeTraffic: () => {
        readonly datagrams: number;
        readonly acrossBytes: number;
        readonly largest: number;
    };
};

const LATENCY_MS: Millis = 2;
const START_SPREAD_MS: Millis = 300;

/**
 * Simulates VMs that send beacons to each other, in virtual time, with the router's own parts; all start within 0.3 s.
 */
export function relayFleet(parts: FleetParts): RelayFleet {
    const { clock: wall, schedule, runUntil } = createVirtualTime();
    const clockStands = new Map<VmId, Millis>();
    const unhandled = new Map<VmId, (() => void)[]>();
    const handle = (vm: VmId, act: () => void): void => {
        const waiting = unhandled.get(vm);
        return waiting === undefined ? act() : void waiting.push(act);
    };
    const resume = ({ vm, forMs, kind }: SimulatedPause): void => {
        const acts = unhandled.get(vm) ?? [];
        unhandled.delete(vm);
        if (kind === "uncounted") {
            clockStands.set(vm, (clockStands.get(vm) ?? 0) + forMs);
        }
        const paused = running.get(vm);
        if (paused === undefined) {
            return;
        }
        if (kind === "counted") {
            [paused.membership, paused.allowances, paused.peerLoad].forEach(part => part.onPaused(forMs));
        }
        parts.onResumed?.(paused, kind);
        acts.forEach(act => {
            act();
            parts.onCaughtUp?.(paused);
        });
    };
    const running = new Map<VmId, FleetVm>();
    const byAddress = new Map<string, VmId>();
    const list = new Map<VmId, ListedVm>();
    const traffic = { datagrams: 0, acrossBytes: 0, largest: 0, starts: 0 };

    const deliver = (from: ListedVm, datagram: Buffer, address: string): void => {
        const to = running.get(byAddress.get(address) ?? "" as VmId);
        traffic.datagrams += 1;
        traffic.largest = Math.max(traffic.largest, datagram.length);
        if (to === undefined) {
            return;
        }
        traffic.acrossBytes += to.listed.failureDomain === from.failureDomain ? 0 : datagram.length;
        if (parts.random() < (parts.loss ?? 0) || parts.isOpen?.(from, to.listed) === false) {
            return;
        }
        // Received by the process that runs when the datagram arrives.
        const { vm } = to.listed;
        schedule(
            LATENCY_MS + parts.random(),
            () => handle(vm, () => running.get(vm)?.exchange.receive(datagram, from.address)),
        );
    };
    const start = (listed: ListedVm): void => {
        const { vm, failureDomain, capacity, address } = listed;
        traffic.starts += 1;
        const incarnation = `run-${traffic.starts}` as Incarnation;
        const clock: Clock = { now: () => wall.now() - (clockStands.get(vm) ?? 0), epoch: wall.now };
        const scheduleOwn: FleetVm["schedule"] = (delayMs, run) => {
            const state = { isCancelled: false };
            const cancel = schedule(delayMs, () => handle(vm, () => state.isCancelled ? undefined : run()));
            return () => {
                state.isCancelled = true;
                cancel();
            };
        };
        const membership = createMembership(clock, { vm, incarnation, failureDomain, capacity, seeds: [] });
        const allowances = createAllowances(clock, membership.liveness, parts.random);
        allowances.open(parts.organisations ?? []);
        const { isRelay, roleOf } = membership;
        const peerLoad = createPeerLoad({ clock, failureDomain, isRelay, roleOf });
        const relayBuffer = createRelayBuffer({
            clock,
            vm,
            relays: membership.relays,
            beaconIntervalMs: membership.beaconIntervalMs,
        });
        const localState: FleetVm["localState"] = { current: () => ({}), cached: [] };
        const receivedParts = new Set<string>();
        list.set(vm, listed);
        byAddress.set(address, vm);
        membership.list([...list.values()]);
        const exchange = createBeaconExchange({
            clock,
            schedule: (delayMs, run) =>
                scheduleOwn(delayMs, () => running.get(vm)?.exchange === exchange ? run() : undefined),
            self: { vm, incarnation, failureDomain, capacity },
            targets: membership.targets,
            usualTargets: membership.usualTargets,
            intervalMs: membership.beaconIntervalMs,
            memberFields: membership.memberFields,
            localState: () => ({
                revision: -1,
                confirmedMs: undefined,
                weights: [],
                spent: allowances.spent(),
                load: [],
                demand: 0,
                engineVersions: [],
                lease: undefined,
                deaths: [],
                suspectParts: [],
                answeredParts: [],
                quarantined: [],
                limits: [],
                availability: [],
                rollouts: [],
                registry: undefined,
                hasStore: true,
                ...localState.current(),
            }),
            ordered: scope => scope === "domain" || scope === "fleet" ? relayBuffer.ordered(scope) : [],
            drainCached: () => {
                const taken = localState.cached;
                localState.cached = [];
                return taken;
            },
            drainRelayed: relayBuffer.drainCached,
            relayedSums: scope => collectRelayedSums({ allowances, membership, peerLoad }, scope),
            relayedLoadChanges: scope =>
                scope === "domain" || scope === "fleet" ? peerLoad.relayedLoadChanges(scope) : () => [],
            send: (datagram, to) => deliver(listed, datagram, to),
            onBeacon: (beacon, from) => {
                const accepted = membership.applyBeacon(beacon, from);
                if (accepted === undefined) {
                    return;
                }
                const role = membership.roleOf(beacon.vm);
                allowances.applyBeacon(beacon, role);
                peerLoad.applyBeacon(beacon);
                relayBuffer.applyBeacon(beacon, role);
                beacon.cached.forEach(([holder, rows]) =>
                    rows.forEach(({ key }) => receivedParts.add(`${holder}/${key}`))
                );
                parts.onReceived?.(vm, accepted.received);
            },
            onUnreadable: () => {
                throw new Error("a datagram cannot be decoded");
            },
        });
        const started: FleetVm = {
            listed,
            clock,
            schedule: scheduleOwn,
            isPaused: () => unhandled.has(vm),
            membership,
            allowances,
            peerLoad,
            exchange,
            localState,
            receivedParts,
        };
        running.set(vm, started);
        parts.onStart?.(started);
    };
    const each = Array.from(
        { length: parts.domains },
        (_, domain) => Array.from({ length: parts.vmsPerDomain }, (_, number) => listedVm(domain, number)),
    ).flat();
    each.forEach(listed => schedule(parts.random() * START_SPREAD_MS, () => start(listed)));
    parts.pauses?.forEach(pause => {
        schedule(pause.at, () => unhandled.set(pause.vm, []));
        schedule(pause.at + pause.forMs, () => resume(pause));
    });

    return {
        clock: wall,
        schedule,
        runUntil,
        vms: () => [...running.values()],
        vm: name => {
            const found = running.get(name as VmId);
            if (found === undefined) {
                throw new Error(`${name} is not running`);
            }
            return found;
        },
        kill: vm => void running.delete(vm),
        start,
        takeTraffic: () => {
            const { datagrams, acrossBytes, largest } = traffic;
            Object.assign(traffic, { datagrams: 0, acrossBytes: 0, largest: 0 });
            return { datagrams, acrossBytes, largest };
        },
    };
}
