import type { FairQueue } from "./FairQueue.js";
import type { QueueItem } from "./QueueItem.js";

const precedes = (a: QueueItem, b: QueueItem): boolean =>
    a.priority !== b.priority
        ? a.priority < b.priority
        : a.deadline !== b.deadline
        ? a.deadline < b.deadline
        : a.arrivedAt < b.arrivedAt;

/** Adds a request to its organisation's lane. */
export function enqueue(queue: FairQueue, item: QueueItem): FairQueue {
    const lane = queue.lanes.get(item.organisation) ?? { virtualTime: 0, items: [] };
    const isIdle = lane.items.length === 0;
    const virtualTime = isIdle ? Math.max(lane.virtualTime, queue.virtualTime) : lane.virtualTime;
    const found = lane.items.findIndex(each => precedes(item, each));
    const index = found === -1 ? lane.items.length : found;
    const items = [...lane.items.slice(0, index), item, ...lane.items.slice(index)];
    return { ...queue, lanes: new Map(queue.lanes).set(item.organisation, { virtualTime, items }) };
}
