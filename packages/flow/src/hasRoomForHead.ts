/** The rest of the heap is for the program, its state, bodies and answers, and what is not collected yet. */
const HEAP_FRACTION = 0.25;
/** A head needs room for this many of its size, so that small ones still come in beside many large ones. */
const ROOM_FOR = 16;

/**
 * Returns whether a request's head is let in.
 *
 * @param cost what it takes, see `headCost`
 * @param heldBytes what the heads of all requests without a whole answer take
 * @param heapBytes limit of the heap
 */
export function hasRoomForHead(cost: number, heldBytes: number, heapBytes: number): boolean {
    return heldBytes + ROOM_FOR * cost <= HEAP_FRACTION * heapBytes;
}
