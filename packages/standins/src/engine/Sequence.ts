/** One request in the engine: a prompt to prefill, then tokens to generate. */
export type Sequence = {
    readonly id: string;
    /** Lower values go first. */
    readonly priority: number;
    /** Order of arrival, among equal priorities. */
    readonly order: number;
    readonly pieces: readonly string[];
    readonly pieceTokens: number;
    /** Tokens to compute before the first new one: the prompt and, when resuming, the output before the position. */
    readonly promptTokens: number;
    /** Tokens computed so far or found in the cache. */
    readonly computedTokens: number;
    /** Tokens found in the cache when the request joined the batch. */
    readonly cachedTokens: number;
    /** Position of the next token to generate. */
    readonly position: number;
    /** Position after the last token to generate. */
    readonly endPosition: number;
};
