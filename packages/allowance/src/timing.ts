const GRANT_MS = 1_500;
const CLOCK_MARGIN = 1.05;

/** Times on which a home and the holders of its grants have to agree, in milliseconds. */
const timing = {
    /** A grant may be spent for this long, by the holder's clock, from when the holder asked. */
    grantMs: GRANT_MS,
    /**
     * The home counts a grant as outstanding for this long from when it granted it. The margin covers a holder's clock
     * that runs up to 5% slower than the home's; without it the home would accrue tokens again that are still
     * spendable.
     */
    keepMs: GRANT_MS * CLOCK_MARGIN,
    /** Maximum age of a charge for which a refund is accepted; holders' sequence numbers are remembered as long. */
    refundMs: 120_000,
    /** Width of the slots for each of which a bucket records its highest level. */
    slotMs: 1_000,
    /** Maximum time that a request waits for tokens that have yet to accrue or to be handed back. */
    maxWaitMs: 500,
    /** Maximum time that a request waits for homes that have not answered yet, or that have enough free tokens. */
    unansweredWaitMs: 750,
    /**
     * Time within which a home that has just taken over serves: it reads the membership, and former grants expire. A
     * request may wait for it this long, since a refusal would blame its organisation for a restart.
     */
    takeoverMs: 3_000,
    /** Interval at which homes are asked again while requests wait. */
    askIntervalMs: 20,
    /** An ask not answered within this time is late: its home is not relied on, but its answer is still accepted. */
    askLateMs: 250,
    /**
     * An ask without an answer fails after this long and is sent again. Answers to it are ignored from then on, so a
     * home that always takes longer grants nothing.
     */
    askTimeoutMs: 1_000,
    /** A home that failed to answer counts as unreachable for this long; it is asked again meanwhile. */
    unreachableMs: 1_000,
    /** Interval at which a home that failed or declined is asked again while requests wait. */
    failedAskIntervalMs: 50,
    /** Time for which a VM's latest ask or answer counts as current. */
    freshMs: 250,
    /** Interval of asks ahead of need, and of asks while the organisation is over its rate. */
    askAheadIntervalMs: 50,
    /** Time since the latest ask after which spent tokens are reported to their home. */
    reportMs: 100,
    /** Tokens held ahead of need cover the recent spending for this long. */
    aheadMs: 200,
    /** A VM hands back its tokens if it has not spent any for this long. */
    idleMs: 1_000,
    /** Minimum interval between two recalls to the same holder. */
    recallMs: 50,
} as const;

export { timing };
