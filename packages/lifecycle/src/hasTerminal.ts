const STANDARD_STREAMS = [0, 1, 2] as const;

/** Tells whether a standard stream of this process is a terminal. The module that knows is loaded at the first call only. */
export function hasTerminal(): boolean {
    const { isatty } = process.getBuiltinModule("node:tty");
    return STANDARD_STREAMS.some(isatty);
}
