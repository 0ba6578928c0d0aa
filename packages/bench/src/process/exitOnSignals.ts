const SIGNALS = { SIGINT: 130, SIGTERM: 143 } as const;

/**
 * Ends this process by `exit` when it is interrupted. The death by a signal itself would pass over the exit handlers,
 * which end the processes that were started, and leave these running.
 */
export function exitOnSignals(): void {
    Object.entries(SIGNALS).forEach(([signal, code]) => process.once(signal, () => process.exit(code)));
}
