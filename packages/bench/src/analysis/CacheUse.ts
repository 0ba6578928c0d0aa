/** One run of a prompt, and what an oracle that knows every cache would have found for it. */
export type CacheUse = {
    readonly at: number;
    readonly dispatchId: string | undefined;
    readonly promptTokens: number;
    /** Tokens found in the cache of the engine that ran it. */
    readonly cachedTokens: number;
    /** Tokens that the best engine held at that moment. */
    readonly oracleTokens: number;
};
