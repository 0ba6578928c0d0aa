/** A run of callers' requests under faults. */
export type HistoryPlan = {
    readonly seed: number;
    /** Names of faults; `crash-prompt` has a caller send a prompt that crashes engines. */
    readonly faults: readonly string[];
    readonly streams: number;
    readonly keys: number;
    /** Milliseconds over which the requests are spread. */
    readonly spanMs: number;
};
