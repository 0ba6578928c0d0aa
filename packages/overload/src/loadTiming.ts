/** Constants of load shedding. */
const loadTiming = {
    /**
     * Fraction of the most urgent kind's objective that a tick may be late. A request needs about five turns of the event
     * loop in a VM (accept, head, body, connection, response), and a turn is longer than a tick is late.
     */
    lagFraction: 0.05,
    /** Least lag that counts: collections of garbage and short throttling by the operating system make ticks as late. */
    minLagMs: 25,
    /**
     * Growth of the refused fraction per second, for each multiple of the limit by which the lag exceeds it: at twice the
     * limit, half of the requests are refused after a second, before most deadlines pass.
     */
    growthPerSecond: 0.5,
    /** Largest such multiple: a long pause says little of the load. */
    maxExcess: 3,
    /** Largest growth in one tick, so that the effect of a tick shows before all requests are refused. */
    maxGrowth: 0.35,
    /** The same if no tick before was late: one long pause is no overload. */
    maxFirstGrowth: 0.1,
    /** Decrease of the refused fraction per second while ticks are in time: slower than its growth, so that it settles. */
    decreasePerSecond: 0.3,
    /**
     * The same once no tick has been late for about a second. At 1 the fraction falls to zero and grows again while the
     * overload lasts; with half more requests than the CPU time allows, 0.65 in place of 0.76 of the most urgent ones were
     * in time in `simulateVm`, mean of six seeds.
     */
    quietDecreasePerSecond: 0.4,
    /** Factor by which the highest lag fades at each tick: to a tenth within a second of ticks in time. */
    peakDecay: 0.8,
    /** Time constant of the counts of requests by kind: long enough to count some of a rare kind, short beside a burst. */
    recentMs: 2_000,
    /** Recent requests below which a lag has another cause, so that refusals would not shorten it. */
    minRecent: 10,
    /** Part of a kind that is always admitted, so that no kind starves and its recovery shows. */
    minAdmitted: 0.05,
    /** The same for the most urgent kind. */
    minAdmittedUrgent: 0.25,
} as const;

export { loadTiming };
