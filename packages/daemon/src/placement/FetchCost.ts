import type { Millis } from "@azureshunt/core";

const MAX_SAMPLES = 15;
/** Milliseconds a piece before any was fetched. */
const FIRST_GUESS = 10;
/** A fetch that brought nothing counts as if a part of a piece had come, so that its cost shows. */
const NOTHING = 0.25;
/** After this time a cost counts no more: where fetching looks dear nobody fetches, and nothing newer would be learned. */
const FRESH_MS = 5_000;

/** One fetch. */
type Sample = { readonly at: Millis; readonly msPerPiece: Millis; };

/** Learns what it costs an engine to fetch a cached piece from another one. */
export class FetchCost {
    #samples: readonly Sample[] = [];

    /** Notes that a fetch which ended now brought this many pieces. */
    observe(pieces: number, elapsed: Millis, now: Millis): void {
        const sample = { at: now, msPerPiece: elapsed / Math.max(NOTHING, pieces) };
        this.#samples = [...this.#samples, sample].slice(-MAX_SAMPLES);
    }

    /** Milliseconds a piece: the median of recent fetches. */
    msPerPiece(now: Millis): Millis {
        const fresh = this.#samples.filter(each => each.at > now - FRESH_MS);
        const sorted = fresh.map(each => each.msPerPiece).sort((a, b) => a - b);
        return sorted[Math.floor(sorted.length / 2)] ?? FIRST_GUESS;
    }
}
