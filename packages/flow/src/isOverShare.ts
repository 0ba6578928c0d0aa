import { heapRoomLevels } from "./heapRoomLevels.js";

/** Fraction of what all requests hold beyond which those of one kind leave the rest of the heap to others. */
const SHARE = 0.5;

/**
 * Returns whether the requests of one kind hold more than their share, so that others find no room because of them. Where
 * all hold less than what is kept for others, something else fills the heap.
 *
 * @param limitBytes limit of the heap
 */
export function isOverShare(ofKind: number, ofAll: number, limitBytes: number): boolean {
    return ofKind > SHARE * Math.max(ofAll, (heapRoomLevels.requests - heapRoomLevels.shared) * limitBytes);
}
