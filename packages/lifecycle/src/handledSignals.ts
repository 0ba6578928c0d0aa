import type { HandledSignal } from "./HandledSignal.js";
import { signalMeanings } from "./signalMeanings.js";
import { terminalSignals } from "./terminalSignals.js";

/** Lists the signals that each process handles, with a terminal or without. */
export function handledSignals(): readonly HandledSignal[] {
    return (Object.keys(signalMeanings) as HandledSignal[]).filter(signal => !terminalSignals.includes(signal));
}
