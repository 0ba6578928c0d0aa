import type { Clock } from "../common/Clock.js";

type Timer = { readonly at: number; readonly order: number; readonly callback: () => void; };

/** A clock that moves only when it is advanced. */
type ManualClock = Clock & { readonly advance: (ms: number) => void; };

/** Creates a clock at 0. Timers fire in order of time while it is advanced; each sees the time for which it was set. */
export function manualClock(): ManualClock {
    let now = 0;
    let createdTimers = 0;
    let timers: readonly Timer[] = [];

    const fireUntil = (end: number): void => {
        const [next] = timers.filter(({ at }) => at <= end).toSorted((a, b) => a.at - b.at || a.order - b.order);
        if (next === undefined) {
            now = end;
            return;
        }
        timers = timers.filter(timer => timer !== next);
        now = Math.max(now, next.at);
        next.callback();
        fireUntil(end);
    };
    return {
        now: () => now,
        after: (ms, callback) => {
            createdTimers += 1;
            const timer = { at: now + ms, order: createdTimers, callback };
            timers = [...timers, timer];
            return () => {
                timers = timers.filter(other => other !== timer);
            };
        },
        advance: ms => fireUntil(now + ms),
    };
}
