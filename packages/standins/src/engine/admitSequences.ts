import type { Batch } from "./Batch.js";
import { countCached } from "./countCached.js";
import type { PieceCache } from "./PieceCache.js";
import type { Sequence } from "./Sequence.js";
import { touchPieces } from "./touchPieces.js";

/** Batch and cache after waiting requests have joined the batch. */
type Admission = {
    readonly batch: Batch;
    readonly cache: PieceCache;
    readonly admitted: readonly Sequence[];
};

const byPriority = (a: Sequence, b: Sequence): number => a.priority - b.priority || a.order - b.order;

/** The last prompt token is always computed, even if the whole prompt is cached: its logits yield the first token. */
const MIN_COMPUTED_TOKENS = 1;

/** Moves waiting requests into the free places of the batch, ordered by priority and then by arrival. */
export function admitSequences(batch: Batch, cache: PieceCache, maxBatch: number, now: number): Admission {
    const free = Math.max(maxBatch - batch.running.length, 0);
    const ordered = batch.waiting.toSorted(byPriority);
    const chosen = ordered.slice(0, free);
    if (chosen.length === 0) {
        return { batch, cache, admitted: [] };
    }
    const admitted = chosen.map(sequence => {
        const found = countCached(cache, sequence.pieces) * sequence.pieceTokens;
        const cachedTokens = Math.max(Math.min(found, sequence.promptTokens - MIN_COMPUTED_TOKENS), 0);
        return { ...sequence, cachedTokens, computedTokens: cachedTokens };
    });
    const cacheAfterUse = admitted.reduce((next, { pieces }) => touchPieces(next, pieces, now), cache);
    return {
        batch: { running: [...batch.running, ...admitted], waiting: ordered.slice(free) },
        cache: cacheAfterUse,
        admitted,
    };
}
