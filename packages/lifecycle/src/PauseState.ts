import type { Millis } from "@azureshunt/core";

import type { ClockReading } from "./ClockReading.js";

/** What is needed to tell that a process did not run. */
export type PauseState = {
    /** At the last tick. */
    readonly tick: ClockReading;
    /** The most CPU time that the process has lately used in one interval. */
    readonly usualCpuMs: Millis;
    /** Wall clock less monotonic clock, at the last look. */
    readonly offsetMs: number;
    /** Part of the time since the last tick that has been told as a pause. */
    readonly toldMs: Millis;
};
