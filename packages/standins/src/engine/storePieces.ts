import type { CacheChange } from "./CacheChange.js";
import type { PieceCache } from "./PieceCache.js";
import { touchPieces } from "./touchPieces.js";

/**
 * Stores the pieces of a chain, and evicts the least recently used pieces beyond `maxPieces`.
 *
 * @param chain pieces of a prompt, from the first one to the last one computed
 */
export function storePieces(cache: PieceCache, chain: readonly string[], maxPieces: number, now: number): CacheChange {
    const stored = chain.filter(piece => !cache.has(piece));
    const withStored = new Map([...cache, ...stored.map(piece => [piece, now] as const)]);
    const touched = touchPieces(withStored, chain, now);
    const removed = [...touched.keys()].slice(0, Math.max(touched.size - maxPieces, 0));
    const kept = new Map(touched);
    removed.forEach(piece => kept.delete(piece));
    return {
        cache: kept,
        stored: stored.filter(piece => kept.has(piece)),
        removed: removed.filter(piece => cache.has(piece)),
    };
}
