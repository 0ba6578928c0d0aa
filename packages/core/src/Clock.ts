import type { Millis } from "./Millis.js";

/** The two clocks, passed in so that tests set them. */
export type Clock = {
    /** Monotonic milliseconds of this process. */
    readonly now: () => Millis;
    /** Milliseconds since the epoch, for records and logs only; never for a decision. */
    readonly epoch: () => number;
};
