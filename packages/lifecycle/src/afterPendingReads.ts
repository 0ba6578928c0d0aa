/**
 * Calls a function once what has arrived on open connections has been read; returns a function that cancels the call.
 *
 * After a time in which a process did not run, its overdue timers run before it reads anything. What others have sent
 * meanwhile would count as not sent.
 */
export function afterPendingReads(run: () => void): () => void {
    // Between two timers and the next immediate, the event loop polls all descriptors.
    const immediate = setImmediate(run);
    return () => clearImmediate(immediate);
}
