/** Timeouts and intervals of the messages between VMs about endpoints that died, in milliseconds. */
const SUSPECT_TIMES = {
    /** Timeout of one query to a VM for what it ran on an endpoint. */
    queryTimeoutMs: 2_000,
    /** Delay before a VM that has not answered is queried again, and the time after which it no longer is. */
    queryAgainMs: 500,
    queryForMs: 30_000,
    /**
     * Timeout of one message to a VM, the delay before it is resent to a VM that has not acknowledged it, and the time
     * after which it is no longer resent.
     */
    sendTimeoutMs: 1_000,
    sendAgainMs: 250,
    sendForMs: 60_000,
    /**
     * Longest wait for all VMs to acknowledge a quarantine before its request is refused, as the caller may turn to any
     * of them.
     */
    maxAcknowledgeWaitMs: 2_000,
    /** Longest wait for the check of a first death; the request then continues as a suspect. */
    maxFirstDeathWaitMs: 300,
    /** Longest wait for the probe of a broken try's endpoint before the request runs again. */
    maxProbeWaitMs: 2_000,
    /** Timeout of one query to a VM for whether a suspect may run beside what that VM runs. */
    admitTimeoutMs: 1_000,
} as const;

export { SUSPECT_TIMES };
