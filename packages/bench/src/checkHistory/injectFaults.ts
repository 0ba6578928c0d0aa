import { setTimeout as delay } from "node:timers/promises";

import { callHttp } from "../topology/callHttp.js";
import type { DaemonProcess } from "../topology/DaemonProcess.js";
import type { Topology } from "../topology/Topology.js";
import type { FaultKind } from "./FaultKind.js";

const EVERY_MS = 1_500;
const SHORT_MS = 1_000;
const PAUSE_MS = 3_000;
const REPLACED_MS = 4_000;

const declare = (topology: Topology, daemon: DaemonProcess) =>
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

/** Kills the daemon of a VM and starts it again, after it was replaced on the platform's list or not. */
const restart = async (topology: Topology, daemon: DaemonProcess, replaced: boolean, random: () => number) => {
    const running = daemon.process();
    running.signal("SIGKILL");
    await running.exited;
    if (replaced) {
        await callHttp({ method: "DELETE", url: `${topology.platform.url}/vms/${daemon.vm}` });
    }
    await delay(replaced ? REPLACED_MS : SHORT_MS * random());
    daemon.restart();
    if (replaced) {
        await declare(topology, daemon);
    }
};

const leave = async (daemon: DaemonProcess): Promise<void> => {
    const running = daemon.process();
    running.signal("SIGTERM");
    await running.exited;
    daemon.restart();
};

const pause = async (daemon: DaemonProcess, random: () => number): Promise<void> => {
    daemon.process().signal("SIGSTOP");
    await delay(PAUSE_MS * random());
    daemon.process().signal("SIGCONT");
};

const silencePlatform = async (topology: Topology): Promise<void> => {
    const control = (body: object) => callHttp({ method: "POST", url: `${topology.platform.url}/control`, body });
    await control({ down: true });
    await delay(PAUSE_MS);
    await control({ down: false });
};

/**
 * Brings about faults at a fixed pace, one daemon at a time for each, until the time is over; all are ended then.
 *
 * @param random seeded, so that a run can be repeated
 * @returns what was done, a line for each
 */
export async function injectFaults(
    topology: Topology,
    kinds: readonly FaultKind[],
    lengthMs: number,
    random: () => number,
): Promise<readonly string[]> {
    const done: string[] = [];
    const busy = new Set<string>();
    const running: Promise<void>[] = [];
    const begun = performance.now();

    const inject = async (kind: FaultKind, daemon: DaemonProcess): Promise<void> => {
        switch (kind) {
            case "restart":
                return await restart(topology, daemon, false, random);
            case "replace":
                return await restart(topology, daemon, true, random);
            case "pause":
                return await pause(daemon, random);
            case "leave":
                return await leave(daemon);
            case "platform":
                return await silencePlatform(topology);
        }
    };
    const next = async (): Promise<void> => {
        if (kinds.length === 0 || performance.now() - begun >= lengthMs) {
            return;
        }
        const kind = kinds[Math.floor(random() * kinds.length)] ?? "pause";
        const daemon = topology.daemons[Math.floor(random() * topology.daemons.length)];
        const key = kind === "platform" ? "platform" : daemon?.vm ?? "";
        if (daemon !== undefined && !busy.has(key)) {
            busy.add(key);
            done.push(`${Math.round(performance.now() - begun)} ms: ${kind} ${key}`);
            running.push(inject(kind, daemon).finally(() => busy.delete(key)));
        }
        await delay(EVERY_MS);
        await next();
    };
    await next();
    await Promise.all(running);
    return done;
}
