import type { FairQueue } from "./FairQueue.js";
import type { QueueItem } from "./QueueItem.js";
import type { QueueTake } from "./QueueTake.js";

/**
 * Takes the next request by start-time fair queueing: the organisation that was given least, measured in work by
 * weight, goes first. An organisation that sends several times its share only lengthens its own lane.
 *
 * @param canStart whether the first request of a lane can be placed now
 */
export function takeNext(queue: FairQueue, canStart: (item: QueueItem) => boolean): QueueTake {
    const lane = [...queue.lanes.values()]
        .filter(each => each.items.length > 0)
        .sort((a, b) => a.virtualTime - b.virtualTime)
        .find(each => canStart(each.items[0]!));
    const item = lane?.items[0];
    if (lane === undefined || item === undefined) {
        return { queue, item: undefined };
    }
    const rest = { virtualTime: lane.virtualTime + item.cost / item.weight, items: lane.items.slice(1) };
    return {
        queue: {
            virtualTime: Math.max(queue.virtualTime, lane.virtualTime),
            lanes: new Map(queue.lanes).set(item.organisation, rest),
        },
        item,
    };
}
