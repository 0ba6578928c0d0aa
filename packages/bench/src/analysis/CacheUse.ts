/** Cached tokens of one prompt run, compared with an oracle that knows the cache of every engine. */
export type CacheUse = {
    readonly at: number;
    readonly dispatchId: string | undefined;
    readonly promptTokens: number;
    /** Tokens found in the cache of the engine that ran it. */
    readonly cachedTokens: number;
    /** Tokens in the best engine's cache at that moment. */
    readonly oracleTokens: number;
};
