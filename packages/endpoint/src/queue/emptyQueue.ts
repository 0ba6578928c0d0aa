import type { FairQueue } from "./FairQueue.js";

/** Creates an empty queue. */
export function emptyQueue(): FairQueue {
    return { virtualTime: 0, lanes: new Map() };
}
