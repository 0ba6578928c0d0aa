import type { FairQueue } from "./FairQueue.js";
import type { QueueItem } from "./QueueItem.js";

/** Removes requests, such as those whose caller is gone; lanes that are empty and have no debt go too. */
export function removeWhere(queue: FairQueue, isGone: (item: QueueItem) => boolean): FairQueue {
    const kept = [...queue.lanes]
        .map(([organisation, lane]) =>
            [organisation, { ...lane, items: lane.items.filter(item => !isGone(item)) }] as const
        )
        .filter(([, lane]) => lane.items.length > 0 || lane.virtualTime > queue.virtualTime);
    return { ...queue, lanes: new Map(kept) };
}
