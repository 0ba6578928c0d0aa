/** One request that a model engine ran, read from the engine's own history. */
export type ModelRun = {
    readonly organisation: string;
    readonly dispatchId: string;
    readonly promptTokens: number;
    /** Milliseconds since the epoch. */
    readonly at: number;
};
