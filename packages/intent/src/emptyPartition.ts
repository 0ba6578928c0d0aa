import type { IntentPartition } from "./IntentPartition.js";

/** Later than any record; the first record that is folded takes its place. */
const NOTHING_VOUCHED = Number.MAX_SAFE_INTEGER;

/**
 * A partition of which nothing has been read.
 *
 * @param start oldest offset that the log keeps; where that is 0, nothing has been lost
 */
export function emptyPartition(start: number): IntentPartition {
    return {
        next: start,
        lastAt: 0,
        vouchedFrom: start === 0 ? 0 : NOTHING_VOUCHED,
        entries: new Map(),
    };
}
