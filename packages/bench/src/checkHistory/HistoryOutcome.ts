/** Outcome of one request as seen by its caller. */
export type HistoryOutcome = {
    readonly vm: string;
    readonly at: number;
    /** HTTP status; `undefined` if the connection broke. */
    readonly status: number | undefined;
    /** Error code; `undefined` if there was no error or it had none. */
    readonly code: string | undefined;
    /** Time from sending to the whole answer. */
    readonly latencyMs: number;
};
