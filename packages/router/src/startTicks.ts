import type { Millis } from "@azureshunt/core";
import { afterPendingReads } from "@azureshunt/lifecycle";

type Ticking = { readonly tick: () => void; };
type TickParts = {
    readonly intervalMs: Millis;
    /** Those that tell how late this process is, and how full its heap. */
    readonly first: readonly Ticking[];
    /** Those that judge callers, peers and endpoints by their silence. */
    readonly afterReads: readonly Ticking[];
};

/** Ticks all time-driven parts by one timer, as that wakes an idle VM least often; returns a function that stops it. */
export function startTicks({ intervalMs, first, afterReads }: TickParts): () => void {
    const state = { cancel: (): void => undefined, isWaiting: false };
    const timer = setInterval(() => {
        first.forEach(part => part.tick());
        if (state.isWaiting) {
            return;
        }
        state.isWaiting = true;
        state.cancel = afterPendingReads(() => {
            state.isWaiting = false;
            afterReads.forEach(part => part.tick());
        });
    }, intervalMs);
    return () => {
        clearInterval(timer);
        state.cancel();
    };
}
