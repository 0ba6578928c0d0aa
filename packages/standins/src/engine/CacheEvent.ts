/** One published change of an engine's cache. `seq` starts at 1 in each incarnation and increases by 1. */
export type CacheEvent = {
    readonly incarnation: string;
    readonly seq: number;
    readonly kind: "stored" | "removed" | "cleared";
    readonly hashes: readonly string[];
};
