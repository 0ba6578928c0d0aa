import type { Millis, Tokens } from "@azureshunt/core";

const MAX_SAMPLES = 31;

/** Estimates the wait in a queue from the waits of earlier requests, relative to the work queued before them. */
export class WaitForecast {
    #samples: readonly number[] = [];

    /** Records how long a request waited and how much work was queued before it. */
    observe(waitedMs: Millis, workBefore: Tokens): void {
        if (workBefore > 0) {
            this.#samples = [...this.#samples, waitedMs / workBefore].slice(-MAX_SAMPLES);
        }
    }

    /**
     * Estimates the wait behind queued work from the median wait per token.
     *
     * @param defaultMsPerToken used until a wait has been observed
     */
    waitFor(workBefore: Tokens, defaultMsPerToken: number): Millis {
        const sorted = [...this.#samples].sort((a, b) => a - b);
        return workBefore * (sorted[Math.floor(sorted.length / 2)] ?? defaultMsPerToken);
    }
}
