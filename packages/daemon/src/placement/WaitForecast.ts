import type { Millis, Tokens } from "@azureshunt/core";

const MAX_SAMPLES = 31;

/** Learns how long the queue takes for the work before a request, from requests that waited. */
export class WaitForecast {
    #samples: readonly number[] = [];

    /** Notes that a request waited this long with this much work before it. */
    observe(waitedMs: Millis, workBefore: Tokens): void {
        if (workBefore > 0) {
            this.#samples = [...this.#samples, waitedMs / workBefore].slice(-MAX_SAMPLES);
        }
    }

    /**
     * Estimates the wait behind some work.
     *
     * @param firstGuess milliseconds a token while nothing was observed
     */
    waitFor(workBefore: Tokens, firstGuess: number): Millis {
        const sorted = [...this.#samples].sort((a, b) => a - b);
        return workBefore * (sorted[Math.floor(sorted.length / 2)] ?? firstGuess);
    }
}
