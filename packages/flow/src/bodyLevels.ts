/** Bounds on the bodies that are read at once, and on those that wait for it. */
const bodyLevels = {
    /** Bodies up to this size are read as they come, so that they never wait behind larger ones. */
    unreservedBytes: 128 * 1024,
    /** Fraction of the budget that larger bodies may reserve together; the rest is for small ones and for answers. */
    reserved: 0.7,
    /**
     * Times the budget that all buffers may take with a further large body, also those that are not collected yet. As much
     * again may be allocated while a collection is under way; both are less than a third of a VM's memory.
     */
    buffers: 2,
    /** Time for which a body waits for a collection at the longest. */
    collectedAfterMs: 250,
    /** What is reserved for a body whose length is not stated. */
    unstatedBytes: 1024 * 1024,
    /** What a body that waits takes: one read of its connection. */
    waitingBytes: 64 * 1024,
    /** What the bodies that wait may take together beside the budget, as a fraction of it. */
    waiting: 0.5,
    /** Time after which a body that is being read reserves what it will take in such a time, instead of its whole length. */
    paceMs: 1_000,
    /** What a slow body reserves beside what it holds, at the least. */
    minAheadBytes: 64 * 1024,
    /** Time for which bodies have to wait before it is judged which of them cannot be read in time. */
    judgedAfterMs: 1_000,
} as const;

export { bodyLevels };
