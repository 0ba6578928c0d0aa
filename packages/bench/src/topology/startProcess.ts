import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import { fileURLToPath } from "node:url";

import type { ManagedProcess } from "./ManagedProcess.js";

const PACKAGES = fileURLToPath(new URL("../../../", import.meta.url));
const MAX_ERROR_CHARACTERS = 4_096;

/** Running children. All are killed on exit, so that none outlives this process. */
const running = new Set<ChildProcess>();
process.once("exit", () => running.forEach(child => child.kill("SIGKILL")));

type ProcessPlan = {
    readonly name: string;
    /** Path of the script, relative to `packages/`. */
    readonly script: string;
    readonly args: readonly string[];
    /** Flags of Node. */
    readonly nodeFlags?: readonly string[];
    /** File to which standard output is appended; if undefined, the output is discarded. */
    readonly logFile: string | undefined;
    /** Called with each complete line of standard output. */
    readonly onLine: (line: string) => void;
};

/** Starts a script of this workspace in a Node process, which is killed when this process exits. */
export function startProcess(plan: ProcessPlan): ManagedProcess {
    const child = spawn(process.execPath, [...plan.nodeFlags ?? [], `${PACKAGES}${plan.script}`, ...plan.args], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    const output = { errors: "", partialLine: "" };
    const logStream = plan.logFile === undefined ? undefined : createWriteStream(plan.logFile, { flags: "a" });
    child.stdout.on("data", (data: Buffer) => {
        logStream?.write(data);
        const lines = (output.partialLine + data.toString("utf8")).split("\n");
        output.partialLine = lines.pop() ?? "";
        lines.forEach(plan.onLine);
    });
    child.stderr.on("data", (data: Buffer) => {
        output.errors = (output.errors + data.toString("utf8")).slice(-MAX_ERROR_CHARACTERS);
    });
    running.add(child);
    const exited = once(child, "exit").then(() => {
        running.delete(child);
        logStream?.end();
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
        errors: () => output.errors,
    };
}
