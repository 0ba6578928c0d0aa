import { setTimeout as delay } from "node:timers/promises";

import { callHttp } from "../topology/callHttp.js";
import type { DaemonProcess } from "../topology/DaemonProcess.js";
import type { Topology } from "../topology/Topology.js";
import type { FaultKind } from "./FaultKind.js";

const FAULT_INTERVAL_MS = 1_500;
const MAX_RESTART_DELAY_MS = 1_000;
/** Length of a platform outage, and longest suspension of a daemon. */
const OUTAGE_MS = 3_000;
const REPLACEMENT_DELAY_MS = 4_000;

const declareVm = (topology: Topology, daemon: DaemonProcess) =>
    callHttp({
        method: "PUT",
        url: `${topology.platform.url}/vms/${daemon.vm}`,
        body: {
            vm: daemon.vm,
            failureDomain: daemon.failureDomain,
            state: "live",
            peer: daemon.peer,
            admin: new URL(daemon.admin).host,
        },
    });

/** Kills a daemon and restarts it; if `isReplaced`, it is removed from the platform's VM list in the meantime. */
const restart = async (topology: Topology, daemon: DaemonProcess, isReplaced: boolean, random: () => number) => {
    const running = daemon.process();
    running.signal("SIGKILL");
    await running.exited;
    if (isReplaced) {
        await callHttp({ method: "DELETE", url: `${topology.platform.url}/vms/${daemon.vm}` });
    }
    await delay(isReplaced ? REPLACEMENT_DELAY_MS : MAX_RESTART_DELAY_MS * random());
    daemon.restart();
    if (isReplaced) {
        await declareVm(topology, daemon);
    }
};

const leave = async (daemon: DaemonProcess): Promise<void> => {
    const running = daemon.process();
    running.signal("SIGTERM");
    await running.exited;
    daemon.restart();
};

const suspend = async (daemon: DaemonProcess, random: () => number): Promise<void> => {
    daemon.process().signal("SIGSTOP");
    await delay(OUTAGE_MS * random());
    daemon.process().signal("SIGCONT");
};

const takePlatformDown = async (topology: Topology): Promise<void> => {
    const control = (body: object) => callHttp({ method: "POST", url: `${topology.platform.url}/control`, body });
    await control({ down: true });
    await delay(OUTAGE_MS);
    await control({ down: false });
};

/**
 * Injects faults at a fixed interval for a given time, at most one at a time per daemon (or the platform), and waits
 * until all of them are over.
 *
 * @param random seeded generator, so that a run can be repeated
 * @returns a description of each fault
 */
export async function injectFaults(
    topology: Topology,
    kinds: readonly FaultKind[],
    lengthMs: number,
    random: () => number,
): Promise<readonly string[]> {
    const descriptions: string[] = [];
    const faultyTargets = new Set<string>();
    const running: Promise<void>[] = [];
    const startedAt = performance.now();

    const inject = async (kind: FaultKind, daemon: DaemonProcess): Promise<void> => {
        switch (kind) {
            case "restart":
                return await restart(topology, daemon, false, random);
            case "replace":
                return await restart(topology, daemon, true, random);
            case "pause":
                return await suspend(daemon, random);
            case "leave":
                return await leave(daemon);
            case "platform":
                return await takePlatformDown(topology);
        }
    };
    const injectNext = async (): Promise<void> => {
        if (kinds.length === 0 || performance.now() - startedAt >= lengthMs) {
            return;
        }
        const kind = kinds[Math.floor(random() * kinds.length)] ?? "pause";
        const daemon = topology.daemons[Math.floor(random() * topology.daemons.length)];
        const target = kind === "platform" ? "platform" : daemon?.vm ?? "";
        if (daemon !== undefined && !faultyTargets.has(target)) {
            faultyTargets.add(target);
            descriptions.push(`${Math.round(performance.now() - startedAt)} ms: ${kind} ${target}`);
            running.push(inject(kind, daemon).finally(() => faultyTargets.delete(target)));
        }
        await delay(FAULT_INTERVAL_MS);
        await injectNext();
    };
    await injectNext();
    await Promise.all(running);
    return descriptions;
}
