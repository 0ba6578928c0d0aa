import type { Clock } from "./Clock.js";

const NANOS_PER_MILLI = 1_000_000n;
const MICROS_PER_MILLI = 1_000;

/** The process's own clocks. The monotonic one goes on while the process is stopped. */
export function createClock(): Clock {
    return {
        now: () => Number(process.hrtime.bigint() * BigInt(MICROS_PER_MILLI) / NANOS_PER_MILLI) / MICROS_PER_MILLI,
        epoch: () => Date.now(),
    };
}
