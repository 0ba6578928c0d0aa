import type { Millis } from "@azureshunt/core";

import { afterPendingReads } from "./afterPendingReads.js";

/**
 * Starts a timeout on something that others do: it expires only if what has arrived by then has been read. Returns a
 * function that cancels it.
 */
export function startTimeout(ms: Millis, onExpire: () => void): () => void {
    const state = { cancel: (): void => clearTimeout(timer) };
    const timer = setTimeout(() => {
        state.cancel = afterPendingReads(onExpire);
    }, ms);
    return () => state.cancel();
}
