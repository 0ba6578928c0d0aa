import { exitOnSignals } from "./exitOnSignals.js";

/**
 * Runs a program to its end, and exits: with the code that it gives, 0 where it gives none, and 1 with what went wrong
 * on standard error.
 *
 * @param name of the command, for the error
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
