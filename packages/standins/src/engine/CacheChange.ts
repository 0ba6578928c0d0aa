import type { PieceCache } from "./PieceCache.js";

/** A cache after a change, and the hashes that came and went. */
export type CacheChange = {
    readonly cache: PieceCache;
    readonly stored: readonly string[];
    readonly removed: readonly string[];
};
