import type { Configuration } from "@azureshunt/release";

/** The configuration that this daemon applies. */
export type ReleasePort = {
    /** The newest configuration known; undefined until the first one is known. */
    readonly current: () => Configuration | undefined;
    /** Calls `onChange` with each newer configuration; returns a function that unsubscribes it. */
    readonly subscribe: (onChange: (cfg: Configuration) => void) => () => void;
    /** Milliseconds since the log or a peer last confirmed that this is the newest revision. */
    readonly staleness: () => number;
};
