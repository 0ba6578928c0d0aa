/** Limits of what is remembered about requests that crash endpoints; times in milliseconds. */
const crashLimits = {
    /**
     * Deaths after which a request is not run any more. An innocent one is present at one by chance, seldom at two; the
     * third tells that it is the cause, and costs one endpoint more than the second.
     */
    deaths: 3,
    /** How long a death counts; callers that send such a request again do so within their deadline of some seconds. */
    rememberedMs: 60_000,
    /** How long a request is not run after its last death. */
    stoppedMs: 600_000,
    /** Requests remembered; those noted longest ago go first. */
    requests: 2_000,
} as const;

export { crashLimits };
