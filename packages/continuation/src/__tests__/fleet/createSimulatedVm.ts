import type { Millis, VmId } from "@azureshunt/core";
import { FailureDomain } from "@azureshunt/core";
import type { seededRandom } from "@azureshunt/testing";

import { createStreamKeeper } from "../../createStreamKeeper.js";
import type { RegisteredRun } from "../../RegisteredRun.js";
import type { createRegistryLog } from "./createRegistryLog.js";
import type { createVirtualTime } from "./createVirtualTime.js";
import type { SimulatedVm } from "./SimulatedVm.js";

type Keeper = ReturnType<typeof createStreamKeeper>;
type KeeperParts = Parameters<typeof createStreamKeeper>[0];

/** What the VMs of a simulation share. */
type FleetParts = {
    readonly time: ReturnType<typeof createVirtualTime>;
    readonly random: ReturnType<typeof seededRandom>;
    readonly registry: ReturnType<typeof createRegistryLog>;
    readonly vms: () => readonly SimulatedVm[];
    /** Replaces parts of each keeper, to remove a guard. */
    readonly override: Partial<KeeperParts>;
};

const READ_MS: Millis = 700;
const CURRENT_MS: Millis = 1_500;
const BEACON_MS: Millis = 200;
const ALIVE_MS: Millis = 2_000;
const TICK_MS: Millis = 100;
const ASK_TIMEOUT_MS: Millis = 150;
const DATAGRAM_LOSS = 0.02;
const MAX_LINK_MS: Millis = 3;

/** Creates a VM that is not running. */
export function createSimulatedVm(fleet: FleetParts, vm: VmId, domain: string): SimulatedVm {
    const { time, random, registry } = fleet;
    const { clock } = time;
    const failureDomain = FailureDomain.parse(domain);
    const state = {
        run: 0,
        keeper: undefined as Keeper | undefined,
        view: [] as readonly RegisteredRun[],
        offset: 0,
        readAt: -Infinity as Millis,
        startedAt: Infinity as Millis,
        disturbedAt: -Infinity as Millis,
        isStoreCut: false,
        arePeersCut: false,
        heard: new Map<VmId, Millis>(),
    };
    const vmAt = (address: string): SimulatedVm | undefined => fleet.vms().find(each => each.vm === address);
    const reaches = (other: SimulatedVm | undefined): boolean =>
        other !== undefined && !state.arePeersCut && other.keeper() !== undefined && other.reaches(self);

    const read = (): void => {
        if (state.isStoreCut) {
            return;
        }
        const entries = state.readAt === -Infinity ? registry.current() : registry.since(state.offset);
        state.offset = registry.end();
        state.view = registry.current();
        state.readAt = clock.now();
        state.keeper?.addEntries(entries);
    };
    /** Runs at an interval for as long as this run of the process lasts. */
    const repeat = (intervalMs: Millis, run: () => void): void => {
        const { run: number } = state;
        const repeated = (): void => {
            if (state.run === number && state.keeper !== undefined) {
                run();
                time.schedule(intervalMs, repeated);
            }
        };
        time.schedule(random.between(0, intervalMs), repeated);
    };
    const hear = (): void =>
        fleet.vms().filter(other => other !== self && reaches(other)).forEach(other =>
            state.heard.set(other.vm, clock.now())
        );
    const start = (): void => {
        state.run += 1;
        Object.assign(state, { view: [], offset: 0, readAt: -Infinity, startedAt: clock.now(), heard: new Map() });
        state.keeper = createStreamKeeper({
            clock,
            failureDomain,
            isFirstStart: false,
            runs: () => state.view,
            entryOf: name => state.view.find(run => run.name === name),
            servingRuns: service => state.view.filter(run => run.service === service),
            registryAgeMs: () => clock.now() - state.readAt,
            isRegistryContradicted: () => false,
            currentMs: () => CURRENT_MS,
            peers: () =>
                fleet.vms().filter(other => clock.now() - (state.heard.get(other.vm) ?? -Infinity) < ALIVE_MS).map(
                    other => ({ vm: other.vm, address: other.vm, failureDomain: other.failureDomain }),
                ),
            send: (datagram, address) => {
                const isLost = random.chance(DATAGRAM_LOSS);
                time.schedule(random.between(1, MAX_LINK_MS), () => {
                    const other = vmAt(address);
                    if (!isLost && other !== undefined && reaches(other)) {
                        other.keeper()?.receive(datagram);
                    }
                });
            },
            whenRecorded: () => Promise.resolve(),
            ask: (address, query) =>
                new Promise(resolve => {
                    const other = vmAt(address);
                    const delayMs = reaches(other) ? random.between(1, MAX_LINK_MS) : ASK_TIMEOUT_MS;
                    time.schedule(delayMs, () => resolve(reaches(other) ? other?.keeper()?.answer(query) : undefined));
                }),
            ...fleet.override,
        });
        read();
        repeat(READ_MS, read);
        repeat(BEACON_MS, hear);
        repeat(TICK_MS, () => state.keeper?.tick());
    };
    const self: SimulatedVm = {
        vm,
        failureDomain,
        keeper: () => state.keeper,
        view: () => state.view,
        isReady: () => state.keeper !== undefined && state.readAt > -Infinity,
        isInTouch: forMs => clock.now() - Math.max(state.startedAt, state.disturbedAt) >= forMs,
        start,
        kill: () => {
            state.keeper = undefined;
            state.startedAt = Infinity;
        },
        cut: links => {
            state.isStoreCut = links !== "peers";
            state.arePeersCut = links !== "store";
            state.disturbedAt = Infinity;
        },
        heal: () => {
            state.isStoreCut = false;
            state.arePeersCut = false;
            state.disturbedAt = clock.now();
        },
        reaches: () => !state.arePeersCut,
    };
    return self;
}
