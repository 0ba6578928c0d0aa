import { writeFileSync } from "node:fs";

import { stringify } from "yaml";

import type { DaemonProcess } from "./DaemonProcess.js";
import type { ManagedProcess } from "./ManagedProcess.js";
import { startProcess } from "./startProcess.js";

/** Settings of one daemon. */
type DaemonPlan = {
    readonly vm: string;
    readonly failureDomain: string;
    readonly callerPort: number;
    readonly adminPort: number;
    readonly peerPort: number;
    readonly platformUrl: string;
    readonly secret: string;
    /** The other daemons, contacted before the list of VMs is known. */
    readonly seeds: readonly { readonly vm: string; readonly failureDomain: string; readonly address: string; }[];
    readonly adminKeyDigest: string;
    readonly policy: string;
    readonly logLevel: string;
    readonly folder: string;
};

const HOST = "127.0.0.1";
/** Those that the program names for itself. */
const NODE_FLAGS: readonly string[] = ["--no-hard-abort"];

/** Writes the settings file of a daemon and starts the daemon. */
export function startDaemonProcess(plan: DaemonPlan): DaemonProcess {
    const settingsFile = `${plan.folder}/${plan.vm}.yaml`;
    const logFile = `${plan.folder}/${plan.vm}.log`;
    const peer = `${HOST}:${plan.peerPort}`;
    writeFileSync(
        settingsFile,
        stringify({
            vm: plan.vm,
            failureDomain: plan.failureDomain,
            listen: { caller: `${HOST}:${plan.callerPort}`, admin: `${HOST}:${plan.adminPort}`, peer },
            platform: { url: plan.platformUrl },
            peers: { secret: plan.secret, seeds: plan.seeds },
            adminKeyDigests: [plan.adminKeyDigest],
            logging: { level: plan.logLevel },
            policy: plan.policy,
        }),
    );
    const launch = (): ManagedProcess =>
        startProcess({
            name: plan.vm,
            script: "daemon/bin/azureshuntd.js",
            nodeFlags: NODE_FLAGS,
            args: ["--settings", settingsFile],
            logFile,
            onLine: () => undefined,
        });
    const state = { process: launch() };
    return {
        vm: plan.vm,
        failureDomain: plan.failureDomain,
        caller: `http://${HOST}:${plan.callerPort}`,
        admin: `http://${HOST}:${plan.adminPort}`,
        peer,
        settingsFile,
        logFile,
        process: () => state.process,
        restart: () => {
            state.process = launch();
        },
    };
}
