/** A turn of the event loop that takes longer may have stood still after its poll. */
const LONGEST_TURN_MS = 20;
/** Longest wait of an event loop that is busy, as deadlines must not come late for it; two turns if they take longer. */
const LONGEST_WAIT_MS = 50;
const MIN_LONG_TURNS = 2;

/**
 * Calls a function once what has arrived on open connections has been read; returns a function that cancels the call.
 *
 * After a time in which a process did not run, its overdue timers run before it reads anything. What others have sent
 * meanwhile would count as not sent.
 */
export function afterPendingReads(run: () => void): () => void {
    const firstAt = performance.now();
    // Between two timers and the next immediate, the event loop polls all descriptors.
    const startTurn = (turns: number): NodeJS.Immediate => {
        const startedAt = performance.now();
        return setImmediate(() => {
            const now = performance.now();
            const isOver = now - startedAt <= LONGEST_TURN_MS
                || (turns >= MIN_LONG_TURNS && now - firstAt > LONGEST_WAIT_MS);
            if (isOver) {
                run();
                return;
            }
            state.immediate = startTurn(turns + 1);
        });
    };
    const state = { immediate: startTurn(1) };
    return () => clearImmediate(state.immediate);
}
