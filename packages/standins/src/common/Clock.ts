/** Clock and timers of a stand-in; tests pass in their own. */
export type Clock = {
    /** Milliseconds since the epoch. */
    readonly now: () => number;
    /** Calls a function after a delay; returns the function that cancels the call. */
    readonly after: (ms: number, callback: () => void) => () => void;
};
