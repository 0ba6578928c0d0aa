import type { OrganisationId, Tokens } from "@azureshunt/core";

import type { FairQueue } from "./FairQueue.js";
import type { QueueItem } from "./QueueItem.js";
import type { QueueLane } from "./QueueLane.js";

const workIn = (items: readonly QueueItem[]): Tokens => items.reduce((sum, item) => sum + item.cost, 0);

const ownBefore = (lane: QueueLane | undefined, item: QueueItem): Tokens =>
    workIn((lane?.items ?? []).filter(each => each.priority <= item.priority && each.id !== item.id));

/** Estimates the work that another lane gets while the item's lane gets `ownWork`: at most its share by weight. */
function shareOf(lane: QueueLane, lead: number, ownWork: Tokens, weight: number): Tokens {
    const laneWeight = lane.items[0]?.weight ?? 1;
    return Math.min(workIn(lane.items), Math.max(0, (ownWork / weight + lead) * laneWeight));
}

/**
 * Estimates the work that a fair queue starts before a request.
 *
 * @param item the request; it may or may not be in the queue already
 * @returns work in tokens
 */
export function workBefore(queue: FairQueue, item: QueueItem): Tokens {
    const own = queue.lanes.get(item.organisation);
    const ownWork = ownBefore(own, item);
    const ownTime = Math.max(own?.virtualTime ?? 0, queue.virtualTime);
    const others = [...queue.lanes].filter(([organisation]: readonly [OrganisationId, QueueLane]) =>
        organisation !== item.organisation
    );
    return others.reduce(
        (sum, [, lane]) => sum + shareOf(lane, ownTime - lane.virtualTime, ownWork, item.weight),
        ownWork,
    );
}
