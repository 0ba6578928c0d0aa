import type { Clock } from "./Clock.js";

const NANOS_PER_MILLI = 1e6;
const MICROS_PER_MILLI = 1_000;

/** Creates the clock of this process. Its monotonic clock continues while the process is stopped. */
export function createClock(): Clock {
    // `performance.now()` reads the same clock as `process.hrtime.bigint()` without operations on big integers, and counts
    // from the start of the process.
    const elapsedMs = performance.now();
    const startMs = Number(process.hrtime.bigint()) / NANOS_PER_MILLI - elapsedMs;
    return {
        now: () => Math.trunc((startMs + performance.now()) * MICROS_PER_MILLI) / MICROS_PER_MILLI,
        epoch: () => Date.now(),
    };
}
