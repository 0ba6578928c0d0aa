import type { Millis } from "@azureshunt/core";

const MAX_SAMPLES = 15;
/** Assumed cost while there are no samples. */
const DEFAULT_MS_PER_PIECE = 10;
/** Pieces that a fetch counts as having brought at least, so that one that brought nothing still has a finite cost. */
const MIN_PIECES = 0.25;
/**
 * Age after which a sample is ignored: while fetching looks expensive no fetch is made, so no newer sample would come.
 */
const MAX_SAMPLE_AGE_MS = 5_000;

type Sample = { readonly at: Millis; readonly msPerPiece: Millis; };

/** Estimates what it costs an engine to fetch a cached piece from another one. */
export class FetchCost {
    #samples: readonly Sample[] = [];

    /** Records a fetch that ended at `now`. */
    observe(pieces: number, elapsed: Millis, now: Millis): void {
        const sample = { at: now, msPerPiece: elapsed / Math.max(MIN_PIECES, pieces) };
        this.#samples = [...this.#samples, sample].slice(-MAX_SAMPLES);
    }

    /** Returns the cost in milliseconds per piece: the median of recent fetches. */
    msPerPiece(now: Millis): Millis {
        const recent = this.#samples.filter(each => each.at > now - MAX_SAMPLE_AGE_MS);
        const sorted = recent.map(each => each.msPerPiece).sort((a, b) => a - b);
        return sorted[Math.floor(sorted.length / 2)] ?? DEFAULT_MS_PER_PIECE;
    }
}
