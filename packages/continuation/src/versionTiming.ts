/** Times of the knowledge of software versions, in milliseconds. */
const versionTiming = {
    /** Longest time from a stream's first event until its caller gives up. */
    streamMs: 30_000,
} as const;

export { versionTiming };
