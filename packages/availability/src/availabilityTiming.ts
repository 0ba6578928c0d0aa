/** Times of endpoints that want no requests, in milliseconds. */
const availabilityTiming = {
    /** Longest pause that an endpoint gets at once, whatever it asks for: a mistaken one would lose it for hours. */
    maxPauseMs: 300_000,
    /** Time for which others are preferred after a first refusal, doubled with each further one. */
    firstBackoffMs: 100,
    maxBackoffMs: 2_000,
    /** Fraction of that time by which it is randomly longer, so that VMs do not come back together. */
    backoffSpread: 0.5,
    /** Time between two requests to an endpoint that has refused, until it serves one. */
    probeGapMs: 100,
    /** Longest time for which VMs that were not told themselves prefer others, and by how much it differs between them. */
    maxToldMs: 10_000,
    toldSpreadMs: 500,
    /** A peer's pause that ends later than the known one by less is the same pause, delayed on its way. */
    sameToldMs: 500,
    /** Pauses that end sooner are not told to others. */
    minToldMs: 300,
    /** Time for which a statement is in each beacon. */
    newMs: 1_000,
    /** Time after the end of the first pause within which refused callers return. */
    returnSpreadMs: 1_000,
} as const;

export { availabilityTiming };
