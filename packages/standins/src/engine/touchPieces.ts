import type { PieceCache } from "./PieceCache.js";

/**
 * Marks cached pieces as used now. A chain's last piece counts as the least recently used, so that eviction removes a
 * chain from its end: a piece whose predecessors have been evicted could never be found again.
 */
export function touchPieces(cache: PieceCache, pieces: readonly string[], now: number): PieceCache {
    const next = new Map(cache);
    pieces.toReversed().filter(piece => next.has(piece)).forEach(piece => {
        next.delete(piece);
        next.set(piece, now);
    });
    return next;
}
