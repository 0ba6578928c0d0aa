/** What one caller was told. */
export type HistoryOutcome = {
    readonly vm: string;
    readonly at: number;
    /** HTTP status; undefined when the connection broke. */
    readonly status: number | undefined;
    /** Kind of error, where there was one. */
    readonly code: string | undefined;
    /** Milliseconds until the answer. */
    readonly tookMs: number;
};
