import type { Millis } from "@azureshunt/core";

/** What the clocks of a process say at one moment. */
export type ClockReading = {
    /** Monotonic time; whether it goes on while the process does not run depends on how the process is paused. */
    readonly steadyMs: Millis;
    /** Milliseconds since the epoch; may be stepped. */
    readonly wallMs: number;
    /** CPU time that the process has used. */
    readonly cpuMs: Millis;
};
