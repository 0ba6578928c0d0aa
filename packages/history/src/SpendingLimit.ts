/** What an organisation may spend over all VMs together, as its release note declares it. */
export type SpendingLimit = {
    readonly organisation: string;
    /** Tokens a second. */
    readonly rate: number;
    readonly burst: number;
    /** Output tokens that each request asks for. */
    readonly outputTokens: number;
};
