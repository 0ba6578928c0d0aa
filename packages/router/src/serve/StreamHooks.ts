import type { Millis } from "@azureshunt/core";

/** Callbacks by which a forwarded stream reports on its endpoint and queries its state. */
export type StreamHooks = {
    readonly onFirstEvent: () => void;
    /** Called on any data from the endpoint. */
    readonly onActivity: (now: Millis) => void;
    /** Whether the endpoint has sent anything recently, for any request. */
    readonly isAlive: () => boolean;
    /**
     * Calls the listener when the stream should continue at another endpoint; returns a function that unregisters it.
     */
    readonly onMove: (listener: () => void) => () => void;
};
