import type { Millis } from "@azureshunt/core";

/** How evenly a stream's events pass, over all its tries. */
export type StreamPace = {
    /** An event has come and is handed to the caller's connection; gives the function to call once that has taken it. */
    readonly passing: () => () => void;
    /** Longest time between two events from an endpoint. */
    readonly longestPauseMs: () => Millis;
    /** Longest time that an event waited in this VM for the caller's connection: its link or its caller is slow. */
    readonly longestSendMs: () => Millis;
};
