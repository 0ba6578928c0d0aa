import { setTimeout as sleep } from "node:timers/promises";

/** Work that is repeated. */
type Repetition = {
    /** Starts the next round at once, or right after the one that is running. */
    readonly runNow: () => void;
    readonly stop: () => void;
};

/**
 * Repeats work, one round at a time.
 *
 * @param work runs one round and returns the milliseconds until the next one; must not throw
 */
export function repeat(work: (signal: AbortSignal) => Promise<number>): Repetition {
    const ended = new AbortController();
    let wait = new AbortController();
    let isRunRequested = false;

    const run = async (): Promise<void> => {
        while (!ended.signal.aborted) {
            isRunRequested = false;
            const waitMs = await work(ended.signal);
            if (!isRunRequested && !ended.signal.aborted) {
                wait = new AbortController();
                await sleep(waitMs, undefined, { signal: wait.signal, ref: false }).catch(() => undefined);
            }
        }
    };
    void run();
    return {
        runNow: () => {
            isRunRequested = true;
            wait.abort();
        },
        stop: () => {
            ended.abort();
            wait.abort();
        },
    };
}
