const MINUTE_MS = 60_000;

/** Limits of what is remembered about endpoint deaths and the requests suspected of causing them. */
const SUSPECT_LIMITS = {
    /** Number of endpoint deaths, confirmed or possible, at which a request is withheld. */
    withholdAtDeaths: 2,
    /** Deaths remembered; the oldest is dropped first. */
    maxDeaths: 64,
    /** Quarantined requests remembered; the one whose quarantine ends first is dropped first. */
    maxQuarantined: 1_024,
    /** How long after a death the requests that ran there stay suspects. */
    suspectMs: 10 * MINUTE_MS,
    /** How long a request that crashes endpoints is refused without being run. */
    quarantineMs: 10 * MINUTE_MS,
} as const;

export { SUSPECT_LIMITS };
