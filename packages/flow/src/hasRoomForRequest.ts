/** A request needs room for this many like it, so that small ones still come in beside many large ones. */
const ROOM_FOR = 16;

/**
 * Returns whether a new request is read.
 *
 * @param cost what it takes, see `requestCost`
 * @param room what is left of the heap, see `heapRoom`
 */
export function hasRoomForRequest(cost: number, room: number): boolean {
    return ROOM_FOR * cost <= room;
}
