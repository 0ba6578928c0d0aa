import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";

type CostProcess = {
    readonly pid: number;
    /** Resolves with the first line of its standard output. */
    readonly firstLine: Promise<string>;
    /** Ends the process by SIGTERM, as a platform does, and waits until it is gone. */
    readonly stop: () => Promise<void>;
};

const MAX_ERROR_CHARACTERS = 4_096;
/** Running children. All are killed on exit, so that none outlives this process. */
const running = new Set<ChildProcess>();
process.once("exit", () => running.forEach(child => child.kill("SIGKILL")));

/** Starts a Node process with arguments and further variables of its environment. */
export function startCostProcess(
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
): CostProcess {
    const child = spawn(process.execPath, args, {
        env: { ...process.env, ...env },
        stdio: ["ignore", "pipe", "pipe"],
    });
    running.add(child);
    const output = { errors: "" };
    child.stderr.on("data", (data: Buffer) => {
        output.errors = (output.errors + data.toString("utf8")).slice(-MAX_ERROR_CHARACTERS);
    });
    const exited = once(child, "exit").then(() => {
        running.delete(child);
    });
    const firstLine = Promise.race([
        once(child.stdout, "data").then(([data]) => String(data).split("\n")[0] ?? ""),
        exited.then(() => Promise.reject(new Error(`ended early: ${output.errors}`))),
    ]);
    // Reported to those who wait for the line; a process that is stopped before has none.
    firstLine.catch(() => undefined);
    child.stdout.resume();
    return {
        pid: child.pid ?? 0,
        firstLine,
        stop: async () => {
            child.kill("SIGTERM");
            await exited;
        },
    };
}
