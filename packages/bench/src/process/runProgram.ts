import { exitOnSignals } from "./exitOnSignals.js";

/**
 * Runs a program and exits with the code that it returns, or 0 if it returns none. If it throws, writes the error to
 * standard error and exits with 1.
 *
 * @param name name of the command, for the error message
 */
export function runProgram(name: string, run: () => Promise<number | void>): void {
    exitOnSignals();
    run().then(
        code => process.exit(code ?? 0),
        (err: unknown) => {
            console.error(`${name}: failed: ${err instanceof Error ? err.message : String(err)}`);
            process.exit(1);
        },
    );
}
