import { setTimeout as sleep } from "node:timers/promises";

/** A piece of work that is repeated. */
type Repetition = {
    /** Starts the next round at once. */
    readonly hurry: () => void;
    readonly stop: () => void;
};

/**
 * Repeats a piece of work, one round at a time.
 *
 * @param work one round; gives the milliseconds until the next one, and must not throw
 */
export function repeat(work: (signal: AbortSignal) => Promise<number>): Repetition {
    const ended = new AbortController();
    let pause = new AbortController();
    let isHurried = false;

    const run = async (): Promise<void> => {
        while (!ended.signal.aborted) {
            isHurried = false;
            const pauseMs = await work(ended.signal);
            if (!isHurried && !ended.signal.aborted) {
                pause = new AbortController();
                await sleep(pauseMs, undefined, { signal: pause.signal, ref: false }).catch(() => undefined);
            }
        }
    };
    void run();
    return {
        hurry: () => {
            isHurried = true;
            pause.abort();
        },
        stop: () => {
            ended.abort();
            pause.abort();
        },
    };
}
