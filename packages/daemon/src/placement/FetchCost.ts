import type { Millis } from "@azureshunt/core";

const MAX_SAMPLES = 15;
/** Milliseconds a piece before any was fetched. */
const FIRST_GUESS = 10;
/** A fetch that brought nothing counts as if a part of a piece had come, so that its cost shows. */
const NOTHING = 0.25;

/** Learns what it costs an engine to fetch a cached piece from another one. */
export class FetchCost {
    #samples: readonly number[] = [];

    /** Notes that a fetch brought this many pieces. */
    observe(pieces: number, elapsed: Millis): void {
        this.#samples = [...this.#samples, elapsed / Math.max(NOTHING, pieces)].slice(-MAX_SAMPLES);
    }

    /** Milliseconds a piece: the median of recent fetches. */
    msPerPiece(): Millis {
        const sorted = [...this.#samples].sort((a, b) => a - b);
        return sorted[Math.floor(sorted.length / 2)] ?? FIRST_GUESS;
    }
}
