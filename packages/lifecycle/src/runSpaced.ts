import type { Millis } from "@azureshunt/core";

/**
 * Returns a function that calls `run` at once, and if it is called again within `ms`, once more when they are over: the last call is
 * never left without a run after it.
 */
export function runSpaced(ms: Millis, run: () => void): () => void {
    const state = { isSpacing: false, isDue: false };
    const start = (): void => {
        state.isSpacing = true;
        state.isDue = false;
        setTimeout(() => {
            state.isSpacing = false;
            if (state.isDue) {
                start();
            }
        }, ms).unref();
        run();
    };
    return () => {
        if (state.isSpacing) {
            state.isDue = true;
            return;
        }
        start();
    };
}
