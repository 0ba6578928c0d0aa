import type { Configuration } from "@azureshunt/release";

/** The configuration in force on this daemon. */
export type ReleasePort = {
    /** The newest configuration known; undefined while there is none at all. */
    readonly current: () => Configuration | undefined;
    /** Calls the function at each newer configuration; returns the function that unregisters it. */
    readonly subscribe: (onChange: (cfg: Configuration) => void) => () => void;
    /** Milliseconds since the log or a peer last confirmed that this is the newest revision. */
    readonly staleness: () => number;
};
