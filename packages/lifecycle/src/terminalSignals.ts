import type { HandledSignal } from "./HandledSignal.js";

/** Signals that a terminal sends to suspend a process: as its user asks for that, or as the process reads or writes there. */
const terminalSignals: readonly HandledSignal[] = ["SIGTSTP", "SIGTTIN", "SIGTTOU"];

export { terminalSignals };
