/** Time limits of `LinkState`, in milliseconds. */
const linkTiming = {
    /**
     * How long an own link may take to open a connection before a peer is asked as well: many round trips inside a
     * region, so that a link that works is hardly ever bypassed.
     */
    headStartMs: 40,
    /** The same for a link that was bypassed, while others like it work: a few round trips, as it may be back. */
    bypassedHeadStartMs: 10,
    /** A link counts as blocked for this long after it was last bypassed, or last failed. */
    blockedMs: 10_000,
} as const;

export { linkTiming };
