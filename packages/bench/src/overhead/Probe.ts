/** One request whose time to the first token was measured. */
export type Probe = {
    /** Length of its prompt, different from that of every other probe. */
    readonly promptTokens: number;
    /** From the intended time of sending to the first token. */
    readonly firstTokenMs: number;
};
