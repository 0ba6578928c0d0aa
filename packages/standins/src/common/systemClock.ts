import type { Clock } from "./Clock.js";

/** Clock and timers of this machine. */
const systemClock: Clock = {
    now: () => performance.timeOrigin + performance.now(),
    after: (ms, callback) => {
        const timer = setTimeout(callback, ms);
        return () => clearTimeout(timer);
    },
};

export { systemClock };
