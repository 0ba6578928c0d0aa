/** What the engine's work costs. */
export type StepCosts = {
    readonly prefillUsPerToken: number;
    readonly decodeMsPerToken: number;
    /** Most prompt tokens that one step computes, over all requests of the batch. */
    readonly prefillChunk: number;
};
