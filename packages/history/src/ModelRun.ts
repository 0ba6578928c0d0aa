/** One request that a model engine ran, as the engine's own history has it. */
export type ModelRun = {
    readonly organisation: string;
    readonly dispatchId: string;
    /** Tokens of the prompt. */
    readonly promptTokens: number;
    /** Milliseconds since the epoch. */
    readonly at: number;
};
