import type { FairQueue } from "./FairQueue.js";

/** Makes a queue without work. */
export function emptyQueue(): FairQueue {
    return { virtualTime: 0, lanes: new Map() };
}
