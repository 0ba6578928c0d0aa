import type { Clock } from "../common/Clock.js";

type Timer = { readonly at: number; readonly order: number; readonly act: () => void; };

/** A clock that stands still until it is told to go on. */
type ManualClock = Clock & { readonly advance: (ms: number) => void; };

/** Creates a clock at 0. Timers that are due act in order, each at its own time. */
export function manualClock(): ManualClock {
    let now = 0;
    let count = 0;
    let timers: readonly Timer[] = [];

    const fireUntil = (end: number): void => {
        const [next] = timers.filter(({ at }) => at <= end).toSorted((a, b) => a.at - b.at || a.order - b.order);
        if (next === undefined) {
            now = end;
            return;
        }
        timers = timers.filter(timer => timer !== next);
        now = Math.max(now, next.at);
        next.act();
        fireUntil(end);
    };
    return {
        now: () => now,
        after: (ms, act) => {
            count += 1;
            const timer = { at: now + ms, order: count, act };
            timers = [...timers, timer];
            return () => {
                timers = timers.filter(other => other !== timer);
            };
        },
        advance: ms => fireUntil(now + ms),
    };
}
