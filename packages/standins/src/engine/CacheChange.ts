import type { PieceCache } from "./PieceCache.js";

/** A cache after a change, with the hashes that were added and removed. */
export type CacheChange = {
    readonly cache: PieceCache;
    readonly stored: readonly string[];
    readonly removed: readonly string[];
};
