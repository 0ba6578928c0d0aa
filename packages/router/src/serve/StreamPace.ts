import type { Millis } from "@azureshunt/core";

/** Timing of a stream's events, over all its tries. */
export type StreamPace = {
    /** Records that events have arrived. */
    readonly recordEvents: (at: Millis) => void;
    /** When the last events arrived; `undefined` if none have. */
    readonly lastAt: () => Millis | undefined;
    /** Longest time between two events from an endpoint. */
    readonly maxGapMs: () => Millis;
    /**
     * Longest time that an event waited in this VM for the caller's connection; long if the link or the caller is slow.
     */
    readonly maxSendMs: () => Millis;
};
