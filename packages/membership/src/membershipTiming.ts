/** Times of the membership, in milliseconds. */
const membershipTiming = {
    /** Interval at which a join is appended again, so that a reader of the trimmed log finds every live VM. */
    refreshMs: 60_000,
    /** Time after which the own join is appended again if it has not been read back from the log. */
    rejoinMs: 2_000,
    /** A time between two ticks longer than this means that the process was suspended. */
    suspensionMs: 750,
    /** A member that was never listed counts as missing only after this long, as the list lags. */
    listLagMs: 60_000,
    /** The nth VM in order, counted from 0, waits n times this long before it appends the drop of another VM. */
    dropStepMs: 2_000,
} as const;

export { membershipTiming };
