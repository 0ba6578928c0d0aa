const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;

/** Times and sizes of intents. Part of what callers are guaranteed, so they are the same on all VMs. */
const INTENT_LIMITS = {
    /** Number of log streams that intents are distributed over, by key. */
    partitions: 16,
    /** How long a key is remembered, by the log's timestamps. */
    windowMs: 60 * MINUTE_MS,
    /** Maximum time from an intent's append to its dispatch; afterwards it may not begin. Far below the window. */
    maxBeginDelayMs: 30 * SECOND_MS,
    /** Age of an intent after which its request cannot be running any more. */
    maxRunningMs: 2 * MINUTE_MS,
    /** The same if its VM is not a listed member. Not 0, because the list lags and lacks a VM that has just started. */
    unlistedOwnerMs: 15 * SECOND_MS,
    /** Interval between snapshots of a partition. The log must retain records for several intervals. */
    snapshotMs: 5 * MINUTE_MS,
    /** Maximum entries in one snapshot record. */
    snapshotEntries: 400,
    /** Maximum length of an answer's body, in base64 digits; longer answers are not stored. */
    maxAnswerLength: 32_768,
} as const;

export { INTENT_LIMITS };
