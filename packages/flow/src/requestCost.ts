/**
 * What a request takes beside its head and prompt until its answer is whole: connections, parsers and messages on both
 * sides, timers, and what is noted of it.
 */
const REQUEST_BYTES = 24 * 1024;
/** A part as its caller names it, and as it is looked for in caches. */
const PART_BYTES = 200;

/** Returns about how many bytes of the heap a request takes until its answer is whole. */
export function requestCost(headBytes: number, promptParts: number): number {
    return REQUEST_BYTES + headBytes + PART_BYTES * promptParts;
}
