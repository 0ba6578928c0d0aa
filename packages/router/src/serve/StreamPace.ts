import type { Millis } from "@azureshunt/core";

/** Timing of a stream's events, over all its tries. */
export type StreamPace = {
    /**
     * Records an event that is written to the caller's connection; returns a function to call once it has been sent.
     */
    readonly startSend: () => () => void;
    /** Longest time between two events from an endpoint. */
    readonly maxGapMs: () => Millis;
    /**
     * Longest time that an event waited in this VM for the caller's connection; long if the link or the caller is slow.
     */
    readonly maxSendMs: () => Millis;
};
