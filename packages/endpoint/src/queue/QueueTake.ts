import type { FairQueue } from "./FairQueue.js";
import type { QueueItem } from "./QueueItem.js";

/** A request taken from a queue, and the queue without it; `item` is undefined if no request can start. */
export type QueueTake = {
    readonly queue: FairQueue;
    readonly item: QueueItem | undefined;
};
