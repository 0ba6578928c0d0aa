import { flowLevels } from "./flowLevels.js";

/** An endpoint cuts off an answer that is not read for seconds; at 8 KB/s this much lasts for half a minute. */
const MAX_BYTES = 256 * 1024;
/** What Node buffers for a socket by itself. */
const MIN_BYTES = 16 * 1024;

type ReadAheadQuery = {
    readonly heldBytes: number;
    readonly budget: number;
    /** Requests for which something is held. */
    readonly holders: number;
    /** Whether the answer is read whole while there is room. */
    readonly isReadWhole: boolean;
};

/**
 * Returns how many bytes of an answer may wait for its caller before its endpoint is not read any more.
 *
 * Load: many slow callers at once. Each may have its share of the budget, and no more than it needs to keep its endpoint
 * from cutting it off. An answer that may not be repeated is read whole while there is room: its endpoint would cut it
 * off otherwise, and it would be lost. So is one that is sent only once it is whole.
 */
export function readAheadOf({ heldBytes, budget, holders, isReadWhole }: ReadAheadQuery): number {
    if (heldBytes >= flowLevels.high * budget) {
        return MIN_BYTES;
    }
    if (isReadWhole && heldBytes < flowLevels.low * budget) {
        return Infinity;
    }
    const share = (flowLevels.high - flowLevels.low) * budget / Math.max(1, holders);
    return Math.max(MIN_BYTES, Math.min(MAX_BYTES, share));
}
