import type { HandledSignal } from "./HandledSignal.js";

/** Signals of a process that are handled, and kept until something takes them. */
export type HeldSignals = {
    /** Whether Node's inspector was open, and was closed so that all of them are handled. */
    readonly hasClosedInspector: boolean;
    /** Takes the signals that have come so far, in their order, and each one that comes from now on. */
    readonly take: (onSignal: (signal: HandledSignal) => void) => void;
    /** Leaves signals to the operating system and to Node again. */
    readonly release: (signals: readonly HandledSignal[]) => void;
    /** Registers the handler of a signal again, after Node has taken it for itself. Does nothing if it is not handled. */
    readonly renew: (signal: HandledSignal) => void;
};
