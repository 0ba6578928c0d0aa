import { writeFileSync } from "node:fs";
import { setTimeout as delay } from "node:timers/promises";

import type { IdleCase } from "./IdleCase.js";
import type { IdleFigures } from "./IdleFigures.js";
import { profileShares } from "./profileShares.js";
import { simulatedVms } from "./simulatedVms.js";
import { startDirectory } from "./startDirectory.js";
import { startMeasuredVm } from "./startMeasuredVm.js";
import { startSimulatedPeers } from "./startSimulatedPeers.js";

type RunTimes = { readonly settleMs: number; readonly measureMs: number; };
type Run = {
    readonly figures: Omit<IdleFigures, keyof IdleCase | "shares">;
    /** The measured time, on the monotonic clock. */
    readonly fromMicros: number;
    readonly toMicros: number;
    readonly profile: string | undefined;
};

const MS_PER_SECOND = 1_000;
const MICROS_PER_MS = 1_000;
const BYTES_PER_MB = 1_000_000;
const ORGANISATIONS = 24;
/** Must have more capacity than the simulated relays, or less than any other VM. */
const CORE_SHARES = { alone: 1, relay: 2, leaf: 0.1 } as const;
/** Second byte of the loopback addresses; others run at the same time, so it depends on the process. */
const FIRST_NETWORK = 20;
const NETWORKS = 100;
/** More than the runs of a process, so that processes that start one after the other do not collide. */
const PROCESS_STEP = 17;

const nowMicros = (): number => Number(process.hrtime.bigint() / BigInt(MICROS_PER_MS));

const counters = { runs: 0 };

/** Keeps the profile of a run for inspection. */
const PROFILE_FILE = process.env["AZURESHUNT_IDLE_PROFILE"];

const runOnce = async (
    idleCase: IdleCase,
    { settleMs, measureMs }: RunTimes,
    isProfiled: boolean,
): Promise<Run> => {
    const network = FIRST_NETWORK + (process.pid * PROCESS_STEP + counters.runs) % NETWORKS;
    counters.runs += 1;
    const host = `127.${network}.255.1`;
    const all = simulatedVms(idleCase, network);
    const directory = await startDirectory(idleCase);
    const peers = await startSimulatedPeers({
        ...directory,
        idleCase,
        all,
        target: `${host}:7600`,
        organisations: ORGANISATIONS,
    });
    const seeds = all.filter(({ isRelay }) => isRelay).slice(0, 3).map(({ address }) => address);
    const vm = startMeasuredVm({
        host,
        seeds,
        store: directory.address,
        coreShare: CORE_SHARES[idleCase.role],
        isProfiled,
    });
    try {
        await delay(settleMs);
        const before = { usage: vm.usage(), traffic: peers.traffic(), at: performance.now() };
        const fromMicros = nowMicros();
        await delay(measureMs);
        const after = { usage: vm.usage(), traffic: peers.traffic(), at: performance.now() };
        const toMicros = nowMicros();
        const gauges = await vm.gauges();
        if (after.traffic.unreadable > 0) {
            throw new Error(`${after.traffic.unreadable} beacons of the measured VM could not be decoded`);
        }
        const seconds = (after.at - before.at) / MS_PER_SECOND;
        const figures = {
            cpuMs: (after.usage.cpuMs - before.usage.cpuMs) / seconds,
            wakeUps: (after.usage.wakeUps - before.usage.wakeUps) / seconds,
            residentMb: after.usage.residentBytes / BYTES_PER_MB,
            beaconsSent: (after.traffic.received - before.traffic.received) / seconds,
            beaconsReceived: (after.traffic.sent - before.traffic.sent) / seconds,
            peersKnown: gauges.get("azureshunt_peers") ?? 0,
            endpointsKnown: gauges.get("azureshunt_endpoints") ?? 0,
        };
        return { figures, fromMicros, toMicros, profile: await vm.stop() };
    }
    finally {
        await vm.stop();
        peers.stop();
        directory.stop();
    }
};

/**
 * Measures a VM at rest twice: first its CPU time, then, with a profiler, which costs CPU time itself, the shares of the
 * components.
 */
export async function measureIdleCost(idleCase: IdleCase, times: RunTimes): Promise<IdleFigures> {
    const { figures } = await runOnce(idleCase, times, false);
    const { profile, fromMicros, toMicros } = await runOnce(idleCase, times, true);
    if (PROFILE_FILE !== undefined && profile !== undefined) {
        writeFileSync(PROFILE_FILE, profile);
    }
    const shares = profile === undefined ? {} : profileShares(JSON.parse(profile), fromMicros, toMicros);
    return { ...idleCase, ...figures, shares };
}
