/**
 * Why a process ends: a signal told it to, its settings are missing or wrong, it could not start for another reason, or an
 * error that nothing caught has left its state unknown.
 */
export type ExitCause = "signal" | "bad-settings" | "start-failed" | "uncaught-error";
