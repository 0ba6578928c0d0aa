/** One change of an engine's cache, as it is published. `seq` grows by one from 1 in each incarnation. */
export type CacheEvent = {
    readonly incarnation: string;
    readonly seq: number;
    readonly kind: "stored" | "removed" | "cleared";
    readonly hashes: readonly string[];
};
