import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import { fileURLToPath } from "node:url";

import type { ManagedProcess } from "./ManagedProcess.js";

const PACKAGES = fileURLToPath(new URL("../../../", import.meta.url));
const KEPT_ERRORS = 4_096;

/** Children that run now; none may outlive this process, however it ends. */
const running = new Set<ChildProcess>();
process.once("exit", () => running.forEach(child => child.kill("SIGKILL")));

/** What a process is started with. */
type ProcessPlan = {
    readonly name: string;
    /** Script below `packages/`. */
    readonly script: string;
    readonly args: readonly string[];
    /** File that takes its standard output; thrown away when undefined. */
    readonly logFile: string | undefined;
    /** Called with each line of standard output. */
    readonly onLine: (line: string) => void;
};

/** Starts a Node process of this workspace. It dies with this process. */
export function startProcess(plan: ProcessPlan): ManagedProcess {
    const child = spawn(process.execPath, [`${PACKAGES}${plan.script}`, ...plan.args], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    const kept = { errors: "", rest: "" };
    const log = plan.logFile === undefined ? undefined : createWriteStream(plan.logFile, { flags: "a" });
    child.stdout.on("data", (data: Buffer) => {
        log?.write(data);
        const lines = (kept.rest + data.toString("utf8")).split("\n");
        kept.rest = lines.pop() ?? "";
        lines.forEach(plan.onLine);
    });
    child.stderr.on("data", (data: Buffer) => {
        kept.errors = (kept.errors + data.toString("utf8")).slice(-KEPT_ERRORS);
    });
    running.add(child);
    const exited = once(child, "exit").then(() => {
        running.delete(child);
        log?.end();
    });
    const hasExited = (): boolean => child.exitCode !== null || child.signalCode !== null;
    return {
        name: plan.name,
        pid: child.pid ?? 0,
        signal: signal => {
            if (!hasExited()) {
                child.kill(signal);
            }
        },
        hasExited,
        exited,
        errors: () => kept.errors,
    };
}
