import { FailureDomain, VmId } from "@azureshunt/core";
import type { Millis } from "@azureshunt/core";

import { createStreamKeeper } from "../../createStreamKeeper.js";
import type { RegisteredRun } from "../../RegisteredRun.js";
import { createVirtualTime } from "../fleet/createVirtualTime.js";

/** What a test changes while keepers run. */
type VmState = {
    runs: readonly RegisteredRun[];
    registryAgeMs: Millis;
    /** Whether other VMs reach it, and it reaches them. */
    isReachable: boolean;
};

const CURRENT_MS = 1_500;
const LINK_MS = 1;
const TICK_MS = 100;

/** Starts the keepers of VMs that know each other, in virtual time, without a registry that they read. */
export function startKeepers(
    names: readonly string[],
    runs: readonly RegisteredRun[],
    isFirstStart = true,
    hasRecord = false,
) {
    const time = createVirtualTime();
    const failureDomain = FailureDomain.parse("z");
    const asked: string[] = [];
    const told: string[] = [];
    const vms = names.map(name => {
        const state: VmState = { runs, registryAgeMs: 0, isReachable: true };
        const peerAt = (address: string) =>
            vms.find(each => each.name === address && each.state.isReachable && state.isReachable)?.keeper;
        const keeper = createStreamKeeper({
            clock: time.clock,
            failureDomain,
            isFirstStart,
            runs: () => state.runs,
            entryOf: endpoint => state.runs.find(run => run.name === endpoint),
            servingRuns: service => state.runs.filter(run => run.service === service),
            registryAgeMs: () => state.registryAgeMs,
            isRegistryContradicted: () => false,
            currentMs: () => CURRENT_MS,
            peers: () =>
                names.filter(other => other !== name).map(other => ({
                    vm: VmId.parse(other),
                    address: other,
                    failureDomain,
                })),
            send: (datagram, address) => {
                told.push(address);
                time.schedule(LINK_MS, () => peerAt(address)?.receive(datagram));
            },
            whenRecorded: () => Promise.resolve(),
            hasRecord,
            ask: (address, query) =>
                new Promise(resolve => {
                    asked.push(address);
                    time.schedule(LINK_MS, () => resolve(peerAt(address)?.answer(query)));
                }),
        });
        const tick = (): void => {
            keeper.tick();
            time.schedule(TICK_MS, tick);
        };
        keeper.addEntries(runs);
        tick();
        return { name, state, keeper };
    });
    return { time, vms, asked, told };
}
