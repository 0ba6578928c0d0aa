import type { CliFailure } from "./CliFailure.js";
import { exitCodes } from "./exitCodes.js";

/** Builds a failure with one of the exit codes. */
export function failure(code: keyof typeof exitCodes, lines: readonly string[], json?: unknown): CliFailure {
    return { code: exitCodes[code], lines, json };
}
