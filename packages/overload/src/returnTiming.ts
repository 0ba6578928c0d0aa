/** Constants of `Retry-After`. */
const returnTiming = {
    /** Time constant of the count of requests sent: as that of the counts of requests by kind. */
    recentMs: 2_000,
    /** Part of what a service takes that is left for returning callers; most of it goes to new requests. */
    returningShare: 0.3,
    /** Rate at which callers return to a service that takes nothing: it may be back at any time. */
    minPerSecond: 1,
    /** Callers are forgotten beyond what can be served in this time: their deadlines have passed. */
    maxReturningMs: 5_000,
    /** Part of its time left for which a caller waits at most before it retries. */
    timeLeftShare: 1 / 3,
    /**
     * The same as part of its objective: a request may wait in a queue for most of its objective, so one that comes back
     * later is admitted and then late.
     */
    objectiveShare: 0.2,
    /** Least time over which callers are spread: an endpoint may have room or be back by then. */
    minSpreadMs: 250,
    /** Priorities that are distinguished; less urgent ones count as the last. It bounds the memory of a schedule. */
    priorities: 10,
} as const;

export { returnTiming };
