/** What one step of the batch does. */
export type StepPlan = {
    /** Prompt tokens computed in this step, by request. */
    readonly prefill: ReadonlyMap<string, number>;
    /** Requests that get their next token in this step. */
    readonly decode: ReadonlySet<string>;
    readonly durationMs: number;
};
