import type { Clock, Millis } from "@azureshunt/core";

type Timer = { readonly at: Millis; readonly run: () => void; };

type VirtualTime = {
    readonly clock: Clock;
    /** Runs a function after a delay; returns a function that cancels it. */
    readonly schedule: (delayMs: Millis, run: () => void) => () => void;
    /**
     * Runs all timers that are due up to `end` in order of time; those due at the same time run in the order they were
     * set.
     */
    readonly runUntil: (end: Millis) => void;
};

/** Creates a clock that starts at 0 and advances from timer to timer. */
export function createVirtualTime(): VirtualTime {
    const time = { now: 0 };
    const timers: Timer[] = [];
    const schedule: VirtualTime["schedule"] = (delayMs, run) => {
        const timer = { at: time.now + delayMs, run };
        const place = timers.findIndex(({ at }) => at > timer.at);
        timers.splice(place < 0 ? timers.length : place, 0, timer);
        return () => {
            const index = timers.indexOf(timer);
            if (index >= 0) {
                timers.splice(index, 1);
            }
        };
    };
    const runUntil: VirtualTime["runUntil"] = end => {
        for (let timer = timers[0]; timer !== undefined && timer.at <= end; timer = timers[0]) {
            timers.shift();
            time.now = timer.at;
            timer.run();
        }
    };
    return { clock: { now: () => time.now, epoch: () => time.now }, schedule, runUntil };
}
