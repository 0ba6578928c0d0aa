import type { CacheChange } from "./CacheChange.js";
import type { PieceCache } from "./PieceCache.js";
import { touchPieces } from "./touchPieces.js";

/**
 * Stores pieces of a chain, and evicts the least recently used ones beyond the bound.
 *
 * @param chain the pieces of a prompt from its first to the last one computed
 * @param maxPieces most pieces that the cache holds
 */
export function storePieces(cache: PieceCache, chain: readonly string[], maxPieces: number, now: number): CacheChange {
    const stored = chain.filter(piece => !cache.has(piece));
    const withAll = new Map([...cache, ...stored.map(piece => [piece, now] as const)]);
    const touched = touchPieces(withAll, chain, now);
    const removed = [...touched.keys()].slice(0, Math.max(touched.size - maxPieces, 0));
    const kept = new Map(touched);
    removed.forEach(piece => kept.delete(piece));
    return {
        cache: kept,
        stored: stored.filter(piece => kept.has(piece)),
        removed: removed.filter(piece => cache.has(piece)),
    };
}
