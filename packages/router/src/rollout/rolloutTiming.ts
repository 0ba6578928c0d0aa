/** Times of rollouts, in milliseconds, and fractions of an order's duration. */
const rolloutTiming = {
    /**
     * Without a statement by the leader for this long, a VM sends nothing to the new version: it may have been taken
     * back meanwhile. Longer than two lost beacons, shorter than the time in which a bad version must be left.
     */
    freshMs: 2_500,
    /** Interval at which a VM reports its counts to the leader. */
    reportMs: 500,
    /** Fraction of the duration after which all requests go to a version that has not failed. */
    canaryFraction: 0.6,
    /** Fraction of the duration for which the old endpoints may finish their requests, before they are stopped. */
    switchingFraction: 0.15,
    /** Fraction of the duration at which the old endpoints get no more time, as a leader may have been replaced late. */
    lastFraction: 0.92,
    /** Fraction of the duration after which an order without any endpoint of the version is taken back. */
    absentFraction: 0.8,
} as const;

export { rolloutTiming };
