import type { ExitCause } from "./ExitCause.js";

/** Exit codes by cause; the last one is `EX_SOFTWARE` of `sysexits.h`. */
const EXIT_CODES: Readonly<Record<ExitCause, number>> = {
    "signal": 0,
    "start-failed": 1,
    "bad-settings": 2,
    "uncaught-error": 70,
};

/** Returns the exit code of a process that ends for a cause. */
export function exitCodeOf(cause: ExitCause): number {
    return EXIT_CODES[cause];
}
