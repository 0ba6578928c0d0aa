import type { PieceCache } from "./PieceCache.js";

/** How many of a prompt's first pieces are cached. A piece counts only when all before it do. */
export function countCached(cache: PieceCache, pieces: readonly string[]): number {
    const firstMiss = pieces.findIndex(piece => !cache.has(piece));
    return firstMiss < 0 ? pieces.length : firstMiss;
}
