const GRANT_MS = 1_500;
const CLOCK_MARGIN = 1.05;

/** Times that taker and giver of a grant have to agree on, in milliseconds. */
const timing = {
    /** A grant may be spent for this long, on the taker's clock from when it asked. */
    grantMs: GRANT_MS,
    /**
     * The giver counts a grant as unspent for this long from when it gave it. The margin covers a taker's clock that
     * runs up to 5% slower than the giver's; without it the giver would accrue tokens anew that are still spendable.
     */
    keepMs: GRANT_MS * CLOCK_MARGIN,
    /** Refunds are accepted for charges up to this old; takers' sequence numbers are remembered for as long. */
    refundMs: 120_000,
    /** Width of the slots in which a bucket remembers its highest level. */
    slotMs: 1_000,
    /** A request may wait this long for tokens. */
    maxWaitMs: 500,
    /** A request may wait this long for homes that have not told whether they have tokens, or that have them. */
    unheardWaitMs: 750,
    /**
     * A home that has just taken over serves within this time: it reads the membership, and former grants run out. A
     * request may wait for it this long, since refusing it would blame its organisation for a restart.
     */
    settleMs: 3_000,
    /** Pause between asking homes again while requests wait. */
    askAgainMs: 20,
    /** An ask that is not answered within this time is late: its home is not counted on, but its answer still is. */
    askLateMs: 250,
    /**
     * An ask without an answer is given up after this long, and made anew. Answers to it are void from then on, so a home
     * that always takes longer gives nothing.
     */
    askTimeoutMs: 1_000,
    /** A home that failed to answer counts as out of reach for this long; it is asked again meanwhile. */
    unreachableMs: 1_000,
    /** A home that failed or declined is asked again after this long. */
    askFailedMs: 50,
    /** What another VM told about its bucket counts as current for this long. */
    freshMs: 250,
    /** Asks ahead of need keep this distance. */
    askAheadMs: 50,
    /** A home hears of tokens spent after this long at the latest. */
    reportMs: 100,
    /** Tokens are held ahead for this long of recent spending. */
    aheadMs: 200,
    /** A VM hands back its tokens when it has not spent any for this long. */
    idleMs: 1_000,
    /** A holder is asked to hand tokens back at most this often. */
    recallMs: 50,
} as const;

export { timing };
