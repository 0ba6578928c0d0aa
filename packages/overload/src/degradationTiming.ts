/** Constants of the degradation of a service. */
const degradationTiming = {
    /** Steps until as much is refused as capacity was lost. */
    steps: 4,
    /** Least time between two steps down to less service: the effect of a step on queues shows within this time. */
    stepMs: 250,
    /** For how long the queue must have been short before the service recovers by one step. */
    recoverMs: 1_000,
    /**
     * Fraction of the most urgent kind's objective from which the queue is long: below the delay bounds of all kinds, as a
     * less urgent kind with a wide objective would otherwise fill the queue beyond the bound of the most urgent one.
     */
    longFraction: 0.4,
    /** The same up to which it is short: what any request may spend in the queue. */
    shortFraction: 0.15,
    /** Largest fraction that counts as lost: a VM to which most endpoints look silent may be cut off itself. */
    maxLost: 0.5,
} as const;

export { degradationTiming };
