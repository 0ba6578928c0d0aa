/** Work of one step of the batch. */
export type StepPlan = {
    /** Number of prompt tokens computed in this step, by request id. */
    readonly prefill: ReadonlyMap<string, number>;
    /** Ids of the requests whose next token is generated in this step. */
    readonly decode: ReadonlySet<string>;
    readonly durationMs: number;
};
