/** Times of endpoints that want no requests, in milliseconds. */
const availabilityTiming = {
    /** Time for which a statement is in each beacon. */
    newMs: 1_000,
} as const;

export { availabilityTiming };
