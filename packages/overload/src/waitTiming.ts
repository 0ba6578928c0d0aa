/** Constants of waiting in a VM. */
const waitTiming = {
    /** Part of the time to its deadline for which a request waits at most: the caller still has time for a retry. */
    timeLeftShare: 1 / 3,
    /** Part of its longest possible wait after which a request is raised by one priority. */
    raiseShare: 0.5,
    /** Least bound of the length of a queue: a VM that has just started to send may let some wait. */
    minLength: 4,
    /** Window of the sent requests that bound the length. */
    sentWindowMs: 1_000,
    /** Interval in which sent requests are counted together: it bounds the memory of the window. */
    sentIntervalMs: 100,
    /**
     * Least time between two placements of a request. A relay receives dozens of beacons per second, and each placement
     * costs CPU time.
     */
    minRetryMs: 25,
} as const;

export { waitTiming };
