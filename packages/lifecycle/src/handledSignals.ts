import type { HandledSignal } from "./HandledSignal.js";
import { signalMeanings } from "./signalMeanings.js";

/** With it, a fatal error of V8 raises SIGABRT; without it, a trap, to which a handler of SIGTRAP would return for ever. */
const ABORT_FLAG = "--no-hard-abort";
/** With one of them, V8's profiler runs from the start on, which takes its samples as it handles SIGPROF. */
const PROFILER_FLAG = /^--(cpu[-_])?prof$/;

/**
 * Lists the signals that a process handles. With a terminal, it leaves the `terminalSignals` to it.
 *
 * @param execArgv flags of Node that the process was started with
 */
export function handledSignals(execArgv: readonly string[]): readonly HandledSignal[] {
    return (Object.keys(signalMeanings) as HandledSignal[])
        .filter(signal => signal !== "SIGTRAP" || execArgv.includes(ABORT_FLAG))
        .filter(signal => signal !== "SIGPROF" || !execArgv.some(flag => PROFILER_FLAG.test(flag)));
}
