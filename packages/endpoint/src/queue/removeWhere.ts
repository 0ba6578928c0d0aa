import type { FairQueue } from "./FairQueue.js";
import type { QueueItem } from "./QueueItem.js";

/** Removes requests, such as those of gone callers, and empty lanes whose virtual time is not ahead of the queue's. */
export function removeWhere(queue: FairQueue, shouldRemove: (item: QueueItem) => boolean): FairQueue {
    const lanes = [...queue.lanes]
        .map(([organisation, lane]) =>
            [organisation, { ...lane, items: lane.items.filter(item => !shouldRemove(item)) }] as const
        )
        .filter(([, lane]) => lane.items.length > 0 || lane.virtualTime > queue.virtualTime);
    return { ...queue, lanes: new Map(lanes) };
}
