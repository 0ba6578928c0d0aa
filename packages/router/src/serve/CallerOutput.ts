import type { Millis } from "@azureshunt/core";

/** The way of an answer's bytes to its caller. What the caller does not read waits here, and is counted. */
export type CallerOutput = {
    readonly write: (bytes: Buffer) => void;
    /** Ends the answer once everything has been written. */
    readonly end: (chunks: readonly Buffer[]) => void;
    /** Longest time that bytes have waited for the caller's connection. */
    readonly maxWaitMs: () => Millis;
    /** Whether the caller has yet to read what was sent. */
    readonly isBlocked: () => boolean;
    readonly pendingBytes: () => number;
    /** Calls the listener, instead of the one before, each time that the caller has read something. */
    readonly onRead: (listener: (() => void) | undefined) => void;
};
