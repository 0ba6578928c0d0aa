/** One read or write of a piece in the KV cache store. */
export type CacheAccess = {
    readonly action: "get" | "put";
    readonly hash: string;
    readonly found: boolean;
    /** Milliseconds since the epoch. */
    readonly at: number;
};
