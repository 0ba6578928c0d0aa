import type { FairQueue } from "./FairQueue.js";
import type { QueueItem } from "./QueueItem.js";

/** Returns all waiting requests, lane by lane. */
export function itemsOf(queue: FairQueue): readonly QueueItem[] {
    return [...queue.lanes.values()].flatMap(lane => lane.items);
}
