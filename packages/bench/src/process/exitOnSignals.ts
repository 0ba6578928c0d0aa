const EXIT_CODES = { SIGINT: 130, SIGTERM: 143 } as const;

/**
 * Makes SIGINT and SIGTERM end this process by `process.exit`. Otherwise the signal would end it without running the
 * exit handlers, which kill its child processes, and these would keep running.
 */
export function exitOnSignals(): void {
    Object.entries(EXIT_CODES).forEach(([signal, code]) => process.once(signal, () => process.exit(code)));
}
