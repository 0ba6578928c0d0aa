const MINUTE_MS = 60_000;

/** Bounds of what is remembered about endpoints that died. */
const SUSPECT_LIMITS = {
    /** Endpoints that a request may bring down before it runs no more. */
    endpoints: 2,
    /** Deaths remembered; the oldest is forgotten first. */
    deaths: 64,
    /** Quarantined requests remembered; the one that ends first is forgotten first. */
    quarantined: 1_024,
    /** How long a death keeps its suspects. */
    suspectMs: 10 * MINUTE_MS,
    /** How long a request that crashes endpoints is answered without being run. */
    quarantineMs: 10 * MINUTE_MS,
} as const;

export { SUSPECT_LIMITS };
