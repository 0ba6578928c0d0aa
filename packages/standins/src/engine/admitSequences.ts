import type { Batch } from "./Batch.js";
import { countCached } from "./countCached.js";
import type { PieceCache } from "./PieceCache.js";
import type { Sequence } from "./Sequence.js";
import { touchPieces } from "./touchPieces.js";

/** A batch after waiting requests joined it. */
type Admission = {
    readonly batch: Batch;
    readonly cache: PieceCache;
    readonly admitted: readonly Sequence[];
};

const byTurn = (a: Sequence, b: Sequence): number => a.priority - b.priority || a.order - b.order;

/** The last token's state is computed anew even when the whole prompt is cached, as its logits give the first token. */
const MIN_COMPUTED_TOKENS = 1;

/** Moves waiting requests into the free places of the batch, by priority and then by arrival. */
export function admitSequences(batch: Batch, cache: PieceCache, maxBatch: number, now: number): Admission {
    const free = Math.max(maxBatch - batch.running.length, 0);
    const inTurn = batch.waiting.toSorted(byTurn);
    const chosen = inTurn.slice(0, free);
    if (chosen.length === 0) {
        return { batch, cache, admitted: [] };
    }
    const admitted = chosen.map(sequence => {
        const found = countCached(cache, sequence.pieces) * sequence.pieceTokens;
        const cachedTokens = Math.max(Math.min(found, sequence.promptTokens - MIN_COMPUTED_TOKENS), 0);
        return { ...sequence, cachedTokens, computedTokens: cachedTokens };
    });
    const touched = admitted.reduce((next, { pieces }) => touchPieces(next, pieces, now), cache);
    return {
        batch: { running: [...batch.running, ...admitted], waiting: inTurn.slice(free) },
        cache: touched,
        admitted,
    };
}
