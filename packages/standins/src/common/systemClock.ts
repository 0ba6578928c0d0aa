import type { Clock } from "./Clock.js";

/** The clock and timers of this machine. */
const systemClock: Clock = {
    now: () => performance.timeOrigin + performance.now(),
    after: (ms, act) => {
        const timer = setTimeout(act, ms);
        return () => clearTimeout(timer);
    },
};

export { systemClock };
