import { heapRoomLevels } from "./heapRoomLevels.js";

/** What is known of how full the heap is, in bytes. */
type HeapFill = {
    readonly limitBytes: number;
    /** In use right after the last full collection. */
    readonly liveBytes: number;
    /** What was counted then of that. */
    readonly countedThen: number;
    /** What is counted now. */
    readonly counted: number;
};

/**
 * Returns how many bytes of the heap are left up to a level; less than 0 beyond it.
 *
 * The bytes in use tell nothing between two full collections, as most of them may be garbage. What is live then follows
 * from what was live at the last one, whatever it was, and from what has been counted since.
 */
export function heapRoom(
    { limitBytes, liveBytes, countedThen, counted }: HeapFill,
    level: keyof typeof heapRoomLevels,
): number {
    return heapRoomLevels[level] * limitBytes - (liveBytes + counted - countedThen);
}
