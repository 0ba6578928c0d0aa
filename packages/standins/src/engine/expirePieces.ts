import type { CacheChange } from "./CacheChange.js";
import type { PieceCache } from "./PieceCache.js";

/** Drops the pieces that have not been used for longer than `idleMs`. */
export function expirePieces(cache: PieceCache, idleMs: number, now: number): CacheChange {
    const removed = [...cache].filter(([, usedAt]) => now - usedAt > idleMs).map(([piece]) => piece);
    if (removed.length === 0) {
        return { cache, stored: [], removed };
    }
    const kept = new Map(cache);
    removed.forEach(piece => kept.delete(piece));
    return { cache: kept, stored: [], removed };
}
