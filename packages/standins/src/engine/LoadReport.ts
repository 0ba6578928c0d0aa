/** An engine's report of its load. */
export type LoadReport = {
    readonly incarnation: string;
    readonly running: number;
    readonly waiting: number;
    /** Prompt tokens still to be computed, over all running and waiting requests. */
    readonly waitingTokens: number;
    readonly cachedPieces: number;
    readonly maxPieces: number;
    readonly at: number;
};
