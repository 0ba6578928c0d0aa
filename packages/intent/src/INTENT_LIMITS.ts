const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;

/** Times and sizes of intents; part of what callers are promised, so the same on all VMs. */
const INTENT_LIMITS = {
    /** Streams that intents are spread over, by key. */
    partitions: 16,
    /** How long a key is remembered, by the log's clock. */
    windowMs: 60 * MINUTE_MS,
    /** Time between an intent's append and its dispatch, after which it is withdrawn instead. Far below the window. */
    beginMs: 30 * SECOND_MS,
    /** Age after which a request that was begun cannot be running any more. */
    runningMs: 2 * MINUTE_MS,
    /** The same where the VM is not on the list, which lags: a VM that has just come is not on it either. */
    unlistedMs: 15 * SECOND_MS,
    /** Interval between snapshots of a partition. The log has to keep records for several of these. */
    snapshotMs: 5 * MINUTE_MS,
    /** Entries in one snapshot record. */
    snapshotEntries: 400,
    /** Answers with a longer body, in base64 digits, are not kept. */
    answerBytes: 32_768,
} as const;

export { INTENT_LIMITS };
