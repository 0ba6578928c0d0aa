import type { Millis } from "./Millis.js";

/** The two clocks, passed in so that tests set them. */
export type Clock = {
    /** Monotonic milliseconds of this process; stands still while the VM is suspended. */
    readonly now: () => Millis;
    /** Milliseconds since the epoch: for records, logs, and to notice a suspension; never as a duration. */
    readonly epoch: () => number;
};
