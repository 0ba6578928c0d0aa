import type { Clock } from "./Clock.js";

const NANOS_PER_MILLI = 1_000_000n;
const MICROS_PER_MILLI = 1_000;

/** Creates the clock of this process. Its monotonic clock continues while the process is stopped. */
export function createClock(): Clock {
    return {
        now: () => Number(process.hrtime.bigint() * BigInt(MICROS_PER_MILLI) / NANOS_PER_MILLI) / MICROS_PER_MILLI,
        epoch: () => Date.now(),
    };
}
