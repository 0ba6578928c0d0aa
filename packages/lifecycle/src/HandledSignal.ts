/** Signals that a process may handle. */
export type HandledSignal =
    | "SIGTERM"
    | "SIGINT"
    | "SIGQUIT"
    | "SIGHUP"
    | "SIGUSR1"
    | "SIGUSR2"
    | "SIGALRM"
    | "SIGVTALRM"
    | "SIGPROF"
    | "SIGIO"
    | "SIGPWR"
    | "SIGSTKFLT"
    | "SIGXCPU"
    | "SIGTRAP"
    | "SIGTSTP"
    | "SIGTTIN"
    | "SIGTTOU";
