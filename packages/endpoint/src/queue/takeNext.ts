import type { OrganisationId } from "@azureshunt/core";

import { emptyQueue } from "./emptyQueue.js";
import type { FairQueue } from "./FairQueue.js";
import type { QueueItem } from "./QueueItem.js";
import type { QueueLane } from "./QueueLane.js";
import type { QueueTake } from "./QueueTake.js";

/** Requests checked per lane, so that one that cannot start yet does not block those behind it. */
const LOOK_AHEAD = 4;

/** Drops empty lanes whose virtual time is not ahead of the queue's, so that the queue is only as large as its work. */
function withoutIdleLanes(lanes: readonly (readonly [OrganisationId, QueueLane])[], virtualTime: number): FairQueue {
    if (lanes.every(([, lane]) => lane.items.length === 0)) {
        return emptyQueue();
    }
    return { virtualTime, lanes: new Map(lanes.filter(([, l]) => l.items.length > 0 || l.virtualTime > virtualTime)) };
}

/**
 * Takes the next request by start-time fair queueing: the organisation that got the least work relative to its weight
 * goes first. An organisation that sends several times its share only lengthens its own lane.
 *
 * @param canStart returns whether a request can be placed now
 */
export function takeNext(queue: FairQueue, canStart: (item: QueueItem) => boolean): QueueTake {
    const item = [...queue.lanes.values()]
        .filter(lane => lane.items.length > 0)
        .sort((a, b) => a.virtualTime - b.virtualTime)
        .flatMap(lane => lane.items.slice(0, LOOK_AHEAD))
        .find(canStart);
    const lane = item === undefined ? undefined : queue.lanes.get(item.organisation);
    if (lane === undefined || item === undefined) {
        return { queue, item: undefined };
    }
    const rest = {
        virtualTime: lane.virtualTime + item.cost / item.weight,
        items: lane.items.filter(each => each !== item),
    };
    const lanes = [...queue.lanes].map(([organisation, each]) =>
        [organisation, organisation === item.organisation ? rest : each] as const
    );
    return { queue: withoutIdleLanes(lanes, Math.max(queue.virtualTime, lane.virtualTime)), item };
}
