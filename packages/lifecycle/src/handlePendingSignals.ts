import { setImmediate as nextTurn } from "node:timers/promises";

/**
 * Lets the process handle signals that came while it was busy. The event loop looks for them once in each turn, and the
 * present turn may have done so already.
 *
 * @throws the reason of `signal` if it is aborted by then
 */
export async function handlePendingSignals(signal: AbortSignal): Promise<void> {
    await nextTurn();
    await nextTurn();
    signal.throwIfAborted();
}
