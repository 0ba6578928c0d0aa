/** Parameters of a run of callers' requests under faults. */
export type HistoryPlan = {
    readonly seed: number;
    /** Names of faults; with `crash-prompt`, a caller sends a prompt that crashes engines. */
    readonly faults: readonly string[];
    readonly streams: number;
    readonly keys: number;
    /** Milliseconds over which the requests are spread. */
    readonly spanMs: number;
};
