import type { Millis } from "@azureshunt/core";

import { admitToQueue } from "./admitToQueue.js";
import { orderWaiting } from "./orderWaiting.js";
import type { WaitEvent } from "./WaitEvent.js";
import type { WaitId } from "./WaitId.js";
import type { WaitingRequest } from "./WaitingRequest.js";
import type { WaitQueue } from "./WaitQueue.js";
import type { WaitRequest } from "./WaitRequest.js";
import { waitTiming } from "./waitTiming.js";

type StepResult = {
    readonly queue: WaitQueue;
    /** Requests that are placed now; one that finds no room asks again. */
    readonly sent: readonly WaitId[];
    readonly refused: readonly WaitId[];
};

type InProgress = WaitQueue["inProgress"];

const NONE: readonly WaitId[] = [];

const idsOf = (requests: readonly WaitingRequest[]): readonly WaitId[] =>
    requests.length === 0 ? NONE : requests.map(({ id }) => id);

const withCount = (inProgress: InProgress, organisation: WaitingRequest["organisation"], by: number): InProgress => {
    const count = (inProgress.get(organisation) ?? 0) + by;
    const next = new Map(inProgress);
    if (count > 0) {
        next.set(organisation, count);
    }
    else {
        next.delete(organisation);
    }
    return next;
};

const recentlySentAfter = (before: WaitQueue["recentlySent"], now: Millis): WaitQueue["recentlySent"] => {
    const { sentWindowMs, sentIntervalMs } = waitTiming;
    const recent = before.filter(({ from }) => from > now - sentWindowMs);
    const last = recent.at(-1);
    return last !== undefined && now < last.from + sentIntervalMs
        ? [...recent.slice(0, -1), { from: last.from, count: last.count + 1 }]
        : [...recent, { from: now, count: 1 }];
};

/** The most requests that may wait: as many as this VM has sent in the last second. */
const maxLength = ({ recentlySent }: WaitQueue, now: Millis): number =>
    Math.max(
        waitTiming.minLength,
        recentlySent.reduce((sum, { from, count }) => from > now - waitTiming.sentWindowMs ? sum + count : sum, 0),
    );

/** Removes the requests that can no longer be in time. */
const removeLate = (queue: WaitQueue, now: Millis): StepResult => {
    const late = queue.waiting.filter(({ leaveAt }) => leaveAt <= now);
    return late.length === 0
        ? { queue, sent: NONE, refused: NONE }
        : {
            queue: { ...queue, waiting: queue.waiting.filter(({ leaveAt }) => leaveAt > now) },
            sent: NONE,
            refused: idsOf(late),
        };
};

/** Releases requests from the head; each one counts as in progress when the next is chosen. */
const release = (queue: WaitQueue, places: number, now: Millis): Pick<StepResult, "queue" | "sent"> => {
    const left = { waiting: queue.waiting, inProgress: queue.inProgress };
    const count = Math.min(queue.waiting.length, Math.max(1, Math.floor(places)));
    const released = Array.from({ length: count }, () => {
        const next = orderWaiting(left, now).find(({ notBefore }) => notBefore <= now);
        if (next !== undefined) {
            left.waiting = left.waiting.filter(each => each !== next);
            left.inProgress = withCount(left.inProgress, next.organisation, 1);
        }
        return next;
    }).filter(each => each !== undefined);
    return { queue: { ...queue, waiting: left.waiting }, sent: idsOf(released) };
};

const arrive = (queue: WaitQueue, request: WaitRequest, now: Millis): Pick<StepResult, "queue" | "refused"> => {
    const admitted = queue.isClosed ? undefined : admitToQueue(request, now);
    if (admitted === undefined) {
        return { queue, refused: [request.id] };
    }
    const ordered = orderWaiting({ ...queue, waiting: [...queue.waiting, admitted] }, now);
    const max = maxLength(queue, now);
    return { queue: { ...queue, waiting: ordered.slice(0, max) }, refused: idsOf(ordered.slice(max)) };
};

const isHeadDue = (queue: WaitQueue, now: Millis): boolean => (orderWaiting(queue, now)[0]?.roomAt ?? Infinity) <= now;

/**
 * Returns the queue of a service after an event, with the requests that leave it. Load: all endpoints of the service are
 * full, and some of them will have room while responses can still be in time.
 *
 * Requests are refused as soon as they can no longer be in time, or if the queue is longer than what this VM has sent in
 * the last second: then its head leaves within a second, and what waits behind it is not worth waiting for.
 */
export function stepQueue(queue: WaitQueue, event: WaitEvent, now: Millis): StepResult {
    if (event.kind === "sent") {
        return {
            queue: {
                ...queue,
                inProgress: withCount(queue.inProgress, event.organisation, 1),
                recentlySent: recentlySentAfter(queue.recentlySent, now),
            },
            sent: NONE,
            refused: NONE,
        };
    }
    const { queue: current, refused } = removeLate(queue, now);
    switch (event.kind) {
        case "arrived": {
            const arrived = arrive(current, event.request, now);
            return { queue: arrived.queue, sent: NONE, refused: [...refused, ...arrived.refused] };
        }
        case "ended": {
            const inProgress = withCount(current.inProgress, event.organisation, -1);
            const ended = { ...current, inProgress };
            return ended.waiting.length === 0
                ? { queue: ended, sent: NONE, refused }
                : { ...release(ended, event.places, now), refused };
        }
        case "load-known":
            return { ...release(current, event.places, now), refused };
        case "due":
            return isHeadDue(current, now)
                ? { ...release(current, event.places, now), refused }
                : { queue: current, sent: NONE, refused };
        case "cancelled": {
            const waiting = current.waiting.filter(({ id }) => id !== event.id);
            return { queue: { ...current, waiting }, sent: NONE, refused };
        }
        case "closed":
            return {
                queue: { ...current, waiting: [], isClosed: true },
                sent: NONE,
                refused: [...refused, ...idsOf(current.waiting)],
            };
    }
}
