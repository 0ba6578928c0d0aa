/** Times of the membership, in milliseconds. */
const membershipTiming = {
    /** Joins are appended again at this distance, so that a reader of the trimmed log finds every live VM. */
    refreshMs: 60_000,
    /** An append of the own join that has not come back through the log is repeated after this long. */
    rejoinMs: 2_000,
    /** A jump of the clock between two ticks larger than this means that the process was paused. */
    pauseMs: 750,
    /** A member that the list never showed counts as missing only after this long: the list lags. */
    listLagMs: 60_000,
    /** The nth VM in order waits n times this long before it writes that a VM was dropped. */
    dropStepMs: 2_000,
} as const;

export { membershipTiming };
