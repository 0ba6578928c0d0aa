/** A turn of the event loop that takes longer may have stood still after its poll. */
const LONGEST_TURN_MS = 20;
/** An event loop whose turns are all that long is busy. */
const MAX_TURNS = 4;

/**
 * Calls a function once what has arrived on open connections has been read; returns a function that cancels the call.
 *
 * After a time in which a process did not run, its overdue timers run before it reads anything. What others have sent
 * meanwhile would count as not sent.
 */
export function afterPendingReads(run: () => void): () => void {
    // Between two timers and the next immediate, the event loop polls all descriptors.
    const startTurn = (turns: number): NodeJS.Immediate => {
        const startedAt = performance.now();
        return setImmediate(() => {
            if (turns < MAX_TURNS && performance.now() - startedAt > LONGEST_TURN_MS) {
                state.immediate = startTurn(turns + 1);
                return;
            }
            run();
        });
    };
    const state = { immediate: startTurn(1) };
    return () => clearImmediate(state.immediate);
}
