import type { Millis } from "./Millis.js";

/** The clocks of a process, as a parameter so that tests can set them. */
export type Clock = {
    /** Monotonic clock of this process; stands still while the VM is suspended. */
    readonly now: () => Millis;
    /** Milliseconds since the epoch: for records and logs, and to detect a suspension; never to measure a duration. */
    readonly epoch: () => number;
};
