import type { IntentPartition } from "./IntentPartition.js";

/** Later than any timestamp; replaced by that of the first record folded. */
const NEVER_COMPLETE = Number.MAX_SAFE_INTEGER;

/**
 * Creates the state of a partition of which no record has been read.
 *
 * @param start oldest offset that the log retains; 0 if no record has been dropped
 */
export function emptyPartition(start: number): IntentPartition {
    return {
        next: start,
        lastAt: 0,
        completeFrom: start === 0 ? 0 : NEVER_COMPLETE,
        entries: new Map(),
    };
}
