/** Limit on what an organisation spends over all VMs together, as its release note declares it. */
export type SpendingLimit = {
    readonly organisation: string;
    /** Tokens per second. */
    readonly rate: number;
    readonly burst: number;
    /** Output tokens that each request asks for. */
    readonly outputTokens: number;
};
