/** Signals that a process handles: read the settings again, or stop. */
export type HandledSignal = "SIGHUP" | "SIGTERM" | "SIGINT";
