import type { Millis } from "@azureshunt/core";

/** Calls a function after a delay, on a timer of this process; returns a function that cancels it. */
export function scheduleTimer(delayMs: Millis, run: () => void): () => void {
    const timer = setTimeout(run, delayMs);
    return () => clearTimeout(timer);
}
