import type { ClockReading } from "./ClockReading.js";
import type { PauseState } from "./PauseState.js";

/** Returns the state of a process that has just begun to look for pauses. */
export function initialPauses(reading: ClockReading): PauseState {
    return { tick: reading, usualCpuMs: 0, offsetMs: reading.wallMs - reading.steadyMs, toldMs: 0 };
}
