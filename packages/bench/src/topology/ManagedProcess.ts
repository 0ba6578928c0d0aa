/** A process that this one has started, and is alone to end. */
export type ManagedProcess = {
    readonly name: string;
    readonly pid: number;
    /** Sends a signal, unless the process has ended. */
    readonly signal: (signal: NodeJS.Signals) => void;
    readonly hasExited: () => boolean;
    /** Settles when the process has ended. */
    readonly exited: Promise<void>;
    /** What it wrote to its standard error so far, the last lines. */
    readonly errors: () => string;
};
