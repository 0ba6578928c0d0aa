/** One record of a stream. `data` is stored as the writer sent it. */
type LogRecord = {
    readonly offset: number;
    readonly id: string;
    /** When it was appended, in milliseconds since the epoch. */
    readonly at: number;
    readonly data: unknown;
};

/** One stream of the log. */
type LogStream = {
    /** Offset of the oldest record kept; equal to `end` if none is kept. */
    readonly start: number;
    /** Offset of the next record to be appended. */
    readonly end: number;
    readonly records: readonly LogRecord[];
};

export type { LogRecord, LogStream };
