/** One record of a stream. `data` is whatever the writer gave. */
type LogRecord = {
    readonly offset: number;
    readonly id: string;
    /** Milliseconds since the epoch when it was appended. */
    readonly at: number;
    readonly data: unknown;
};

/** One stream of the log. */
type LogStream = {
    /** Offset of the oldest record kept; equal to `end` when none is. */
    readonly start: number;
    /** Offset that the next record gets. */
    readonly end: number;
    readonly records: readonly LogRecord[];
};

export type { LogRecord, LogStream };
