import type { Clock, Millis } from "@azureshunt/core";

/** Time that passes from timer to timer. */
type VirtualTime = {
    readonly clock: Clock;
    /** Runs a function after a delay; returns a function that cancels it. */
    readonly schedule: (delayMs: Millis, run: () => void) => () => void;
    /** Runs the timers that are due up to `end`, and the promises that each of them resolves. */
    readonly runUntil: (end: Millis) => Promise<void>;
};

const flushPromises = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

/** Creates a clock that starts at 0. */
export function createVirtualTime(): VirtualTime {
    const state = { now: 0, number: 0 };
    const timers = new Map<number, { readonly at: Millis; readonly run: () => void; }>();
    const nextUpTo = (end: Millis) =>
        [...timers].filter(([, { at }]) => at <= end).reduce<[number, { at: Millis; run: () => void; }] | undefined>(
            (first, each) => first === undefined || each[1].at < first[1].at ? each : first,
            undefined,
        );
    return {
        clock: { now: () => state.now, epoch: () => state.now },
        schedule: (delayMs, run) => {
            state.number += 1;
            const { number } = state;
            timers.set(number, { at: state.now + delayMs, run });
            return () => timers.delete(number);
        },
        runUntil: async end => {
            for (let next = nextUpTo(end); next !== undefined; next = nextUpTo(end)) {
                const [number, { at, run }] = next;
                timers.delete(number);
                state.now = at;
                run();
                await flushPromises();
            }
            state.now = end;
        },
    };
}
