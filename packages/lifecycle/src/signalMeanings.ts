import type { HandledSignal } from "./HandledSignal.js";
import type { SignalMeaning } from "./SignalMeaning.js";

/**
 * What each signal asks of a process that handles it. By default, each would end or suspend the process with the requests
 * on it, and SIGUSR1 would open Node's inspector. Not listed, so left to the operating system and to Node: what no process can handle,
 * what reports a fault of the program itself, and what they ignore.
 */
const signalMeanings: Readonly<Record<HandledSignal, SignalMeaning>> = {
    SIGTERM: "stop",
    SIGINT: "stop",
    SIGQUIT: "stop",
    SIGHUP: "reload",
    SIGUSR1: "none",
    SIGUSR2: "none",
    SIGALRM: "none",
    SIGVTALRM: "none",
    SIGPROF: "none",
    SIGIO: "none",
    SIGPWR: "none",
    SIGSTKFLT: "none",
    SIGXCPU: "none",
    SIGTRAP: "none",
    SIGTSTP: "none",
    SIGTTIN: "none",
    SIGTTOU: "none",
};

export { signalMeanings };
