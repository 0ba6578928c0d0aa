/** A child process. Only the process that started it may end it. */
export type ManagedProcess = {
    readonly name: string;
    readonly pid: number;
    /** Sends a signal; does nothing if the process has ended. */
    readonly signal: (signal: NodeJS.Signals) => void;
    readonly hasExited: () => boolean;
    /** Resolves when the process has ended. */
    readonly exited: Promise<void>;
    /** The end of what the process has written to standard error so far. */
    readonly errors: () => string;
};
