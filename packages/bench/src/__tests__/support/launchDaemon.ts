import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

type Exit = { readonly code: number | null; readonly signal: NodeJS.Signals | null; };

/** A process of the daemon, from its first instruction on. */
type LaunchedDaemon = {
    readonly signal: (signal: NodeJS.Signals) => void;
    /** How it ended; `undefined` while it runs. */
    readonly ended: () => Exit | undefined;
    readonly exit: Promise<Exit>;
    /** What it has written to standard output and standard error. */
    readonly output: () => string;
};

const PROGRAM = fileURLToPath(new URL("../../../../daemon/bin/azureshuntd.js", import.meta.url));

/**
 * Starts the daemon as a process of its own, and does not wait for anything.
 *
 * @param nodeFlags flags of Node; if omitted, those that the program itself names
 */
export function launchDaemon(args: readonly string[], nodeFlags?: readonly string[]): LaunchedDaemon {
    const [command, commandArgs] = nodeFlags === undefined
        ? [PROGRAM, args] as const
        : [process.execPath, [...nodeFlags, PROGRAM, ...args]] as const;
    const child = spawn(command, commandArgs, { stdio: ["ignore", "pipe", "pipe"] });
    const state = { output: "", ended: undefined as Exit | undefined };
    [child.stdout, child.stderr].forEach(stream =>
        stream.on("data", (chunk: Buffer) => {
            state.output += chunk.toString();
        })
    );
    const exit = new Promise<Exit>(resolve =>
        child.once("close", (code, signal) => {
            state.ended = { code, signal };
            resolve(state.ended);
        })
    );
    return {
        signal: signal => void child.kill(signal),
        ended: () => state.ended,
        exit,
        output: () => state.output,
    };
}
