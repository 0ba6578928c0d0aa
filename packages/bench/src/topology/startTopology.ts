import { createHash, randomBytes } from "node:crypto";

import { callHttp } from "./callHttp.js";
import type { DaemonProcess } from "./DaemonProcess.js";
import { freePorts } from "./freePorts.js";
import type { ManagedProcess } from "./ManagedProcess.js";
import { startDaemonProcess } from "./startDaemonProcess.js";
import { startStandIn } from "./startStandIn.js";
import type { Topology } from "./Topology.js";
import type { TopologyPlan } from "./TopologyPlan.js";
import { waitUntil } from "./waitUntil.js";

const PORTS_PER_DAEMON = 3;
const START_TIMEOUT_MS = 20_000;
const STATUS_OK = 200;
const STOP_TIMEOUT_MS = 5_000;
const STANDIN_KINDS = { model: "engine", service: "service", cache: "cache" } as const;

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms).unref());

const endProcess = async (child: ManagedProcess): Promise<void> => {
    child.signal("SIGCONT");
    child.signal("SIGTERM");
    await Promise.race([child.exited, sleep(STOP_TIMEOUT_MS)]);
    child.signal("SIGKILL");
    await child.exited;
};

/** Declares a daemon's VM to the platform, as a machine provider would. Without this, the daemons have no peers. */
const declareVm = async (platformUrl: string, daemon: DaemonProcess): Promise<void> => {
    const { status, text } = await callHttp({
        method: "PUT",
        url: `${platformUrl}/vms/${daemon.vm}`,
        body: {
            failureDomain: daemon.failureDomain,
            state: "live",
            peer: daemon.peer,
            admin: new URL(daemon.admin).host,
        },
    });
    if (status !== STATUS_OK) {
        throw new Error(`declaring ${daemon.vm}: expected 200, seen ${status} ${text}`);
    }
};

const isListening = async (daemon: DaemonProcess): Promise<boolean> =>
    (await callHttp({ method: "GET", url: `${daemon.caller}/healthz` })).status === 200;

/** Resolves when a daemon listens; rejects with its standard error if the daemon ends first. */
const waitUntilListening = async (daemon: DaemonProcess): Promise<void> => {
    const { exited, errors } = daemon.process();
    const ended = exited.then(() => Promise.reject(new Error(`${daemon.vm} ended: ${errors()}`)));
    await Promise.race([ended, waitUntil(`${daemon.vm} to listen`, START_TIMEOUT_MS, () => isListening(daemon))]);
    ended.catch(() => undefined);
};

/** Starts the platform, the endpoints and the daemons, each as a process on free ports, and waits until all listen. */
export async function startTopology(plan: TopologyPlan): Promise<Topology> {
    const platform = await startStandIn("platform", "platform", plan.platformFlags);
    const endpoints = await Promise.all(plan.endpoints.map(async endpoint => {
        const flags = { "failure-domain": endpoint.failureDomain, ...endpoint.flags };
        const allFlags = endpoint.kind === "model" ? { ...flags, "weights-url": platform.url } : flags;
        const started = await startStandIn(STANDIN_KINDS[endpoint.kind], endpoint.name, allFlags);
        return { ...started, kind: endpoint.kind, failureDomain: endpoint.failureDomain };
    }));
    const adminKey = `asa_${randomBytes(32).toString("base64url")}`;
    const vms = plan.failureDomains.flatMap(failureDomain =>
        Array.from({ length: plan.daemonsPerDomain }, (_, i) => ({ failureDomain, vm: `vm-${failureDomain}-${i + 1}` }))
    );
    const ports = await freePorts(vms.length * PORTS_PER_DAEMON);
    const secret = randomBytes(32).toString("base64url");
    const daemons = vms.map(({ vm, failureDomain }, i) =>
        startDaemonProcess({
            vm,
            failureDomain,
            callerPort: ports[i * PORTS_PER_DAEMON] ?? 0,
            adminPort: ports[i * PORTS_PER_DAEMON + 1] ?? 0,
            peerPort: ports[i * PORTS_PER_DAEMON + 2] ?? 0,
            platformUrl: platform.url,
            secret,
            seeds: vms.map((other, j) => ({ ...other, address: `127.0.0.1:${ports[j * PORTS_PER_DAEMON + 2] ?? 0}` }))
                .filter(other => other.vm !== vm),
            adminKeyDigest: createHash("sha256").update(adminKey).digest("hex"),
            policy: plan.policy,
            logLevel: plan.logLevel,
            folder: plan.folder,
        })
    );
    await Promise.all(daemons.map(daemon => declareVm(platform.url, daemon)));
    await Promise.all(daemons.map(waitUntilListening));
    const stop = async (): Promise<void> => {
        await Promise.all(daemons.map(daemon => endProcess(daemon.process())));
        await Promise.all([...endpoints, platform].map(endProcess));
    };
    return { platform, endpoints, daemons, adminKey, stop };
}
