/** Limits for quarantining requests that crash endpoints; times in milliseconds. */
const crashLimits = {
    /**
     * Deaths after which a request is quarantined. An unrelated request may be running at one death by chance, seldom
     * at two; a third one shows that the request is the cause, at the price of one more endpoint.
     */
    deaths: 3,
    /** How long a death counts. Callers that retry such a request do so within their deadline of some seconds. */
    rememberedMs: 60_000,
    /** How long a request stays quarantined after its last death. */
    quarantineMs: 600_000,
    /** Requests remembered; those recorded longest ago are dropped first. */
    requests: 2_000,
} as const;

export { crashLimits };
