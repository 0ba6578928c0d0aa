import type { CliFailure } from "./CliFailure.js";
import { exitCodes } from "./exitCodes.js";

/** Creates a failure by the name of its exit code. */
export function failure(code: keyof typeof exitCodes, lines: readonly string[], json?: unknown): CliFailure {
    return { code: exitCodes[code], lines, json };
}
