/**
 * Fractions of the heap's limit from which a VM reports what its heap holds, lowest first, and when it reports again. V8
 * ends the process below the whole limit, as that counts the room of young objects too.
 */
const heapLevels = {
    raised: 0.65,
    high: 0.75,
    critical: 0.85,
    /** A level is left this far below it. Without a gap, each collection would leave it and each turn enter it again. */
    gap: 0.1,
    /** Least time between two reports unless the level is higher than any reported in that time. */
    repeatMs: 1_000,
} as const;

export { heapLevels };
