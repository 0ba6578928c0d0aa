/** Time that the engine's work takes, and the limit of one step. */
export type StepCosts = {
    readonly prefillUsPerToken: number;
    readonly decodeMsPerToken: number;
    /** Maximum number of prompt tokens that one step computes, over all requests of the batch. */
    readonly prefillChunk: number;
};
