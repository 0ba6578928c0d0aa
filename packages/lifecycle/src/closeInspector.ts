import { inspectorUrl } from "./inspectorUrl.js";

const INSPECTOR_FLAG = /^--inspect(-brk|-wait)?(=|$)/;

/**
 * Closes Node's inspector unless a flag of the process asks for it: SIGUSR1 opens it while Node itself starts, and so may the
 * `NODE_OPTIONS` of the place where the process runs.
 *
 * @returns whether it was open
 */
export function closeInspector(execArgv: readonly string[]): boolean {
    if (inspectorUrl() === undefined || execArgv.some(flag => INSPECTOR_FLAG.test(flag))) {
        return false;
    }
    process.getBuiltinModule("node:inspector").close();
    return true;
}
