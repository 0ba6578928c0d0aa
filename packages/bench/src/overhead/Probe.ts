/** One request whose time to the first token was taken. */
export type Probe = {
    /** Tokens of its prompt, unlike those of all others. */
    readonly promptTokens: number;
    readonly firstMs: number;
};
