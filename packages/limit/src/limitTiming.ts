/** Times and fractions of the turns at limited endpoints; times are in milliseconds. */
const limitTiming = {
    /**
     * Fraction of a limit that all VMs together use. The rest is for VMs that have not received the limit yet, and for
     * outdated loads of the others.
     */
    usedFraction: 0.9,
    /** Requests a second that an endpoint gets however low its limit is, as only an answer shows that the limit has ended. */
    minPerSecond: 0.2,
    /** A turn that is not used within this time lapses, so that turns do not add up to a burst. */
    turnMs: 2_000,
    /** Turns that a VM keeps at most. */
    maxTurns: 2,
    /** Time until all VMs know how much the others place: three hops between VMs. */
    settleMs: 1_500,
    /** Requests a second that a VM counts as placing at least; callers may come to all idle VMs at once. */
    idlePerSecond: 0.4,
    /** Time constants over which a VM measures its load, and how much that has grown. */
    loadMs: 1_000,
    earlierLoadMs: 4_000,
    /** Time for which VMs count what they have sent to a limited endpoint. */
    sentMs: 2_000,
    /** In that time all VMs send at most so many times what the limit takes, and some more. */
    maxSentRatio: 1.1,
    maxSentExtra: 1.5,
    /** Time for which a limit that has changed is in each beacon, and for which beacons state that one has ended. */
    newMs: 1_000,
    endedMs: 10_000,
} as const;

export { limitTiming };
