import type { Millis } from "./Millis.js";

const MICROS_PER_MILLI = 1_000;

/** Returns the CPU time that this process has used. */
export function cpuTimeMs(): Millis {
    const { user, system } = process.cpuUsage();
    return (user + system) / MICROS_PER_MILLI;
}
