import type { PieceCache } from "./PieceCache.js";

/** Returns how many leading pieces of a prompt are cached. A piece counts only if all pieces before it are cached. */
export function countCached(cache: PieceCache, pieces: readonly string[]): number {
    const firstMiss = pieces.findIndex(piece => !cache.has(piece));
    return firstMiss < 0 ? pieces.length : firstMiss;
}
