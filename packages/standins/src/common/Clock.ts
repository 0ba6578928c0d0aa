/** Time as a stand-in sees it, passed in so that tests set it. */
export type Clock = {
    /** Milliseconds since the epoch. */
    readonly now: () => number;
    /** Calls a function after some milliseconds; returns the function that cancels it. */
    readonly after: (ms: number, act: () => void) => () => void;
};
