/** One piece that was put into the KV cache store or asked of it. */
export type CacheUse = {
    readonly action: "get" | "put";
    readonly hash: string;
    readonly found: boolean;
    /** Milliseconds since the epoch. */
    readonly at: number;
};
