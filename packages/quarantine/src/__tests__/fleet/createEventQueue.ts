import type { Millis } from "@azureshunt/core";

type Event = { readonly at: Millis; readonly run: () => void; };

/** Time that passes from event to event. */
type EventQueue = {
    readonly now: () => Millis;
    readonly schedule: (delayMs: Millis, run: () => void) => void;
    /** Runs the events up to `end`, in the order of their times. */
    readonly runUntil: (end: Millis) => void;
};

/** Creates a queue whose time starts at 0: a binary heap, as large fleets have a million events. */
export function createEventQueue(): EventQueue {
    const heap: Event[] = [];
    const state = { now: 0 };
    const timeAt = (i: number): Millis => heap[i]?.at ?? Infinity;
    const swap = (i: number, j: number): void => {
        [heap[i], heap[j]] = [heap[j] as Event, heap[i] as Event];
    };
    const siftUp = (i: number): void => {
        const parent = (i - 1) >> 1;
        if (i > 0 && timeAt(parent) > timeAt(i)) {
            swap(i, parent);
            siftUp(parent);
        }
    };
    const siftDown = (i: number): void => {
        const left = 2 * i + 1;
        const child = timeAt(left + 1) < timeAt(left) ? left + 1 : left;
        if (timeAt(child) < timeAt(i)) {
            swap(i, child);
            siftDown(child);
        }
    };
    const take = (): Event | undefined => {
        const first = heap[0];
        const last = heap.pop();
        if (last !== undefined && heap.length > 0) {
            heap[0] = last;
            siftDown(0);
        }
        return first;
    };
    return {
        now: () => state.now,
        schedule: (delayMs, run) => {
            heap.push({ at: state.now + delayMs, run });
            siftUp(heap.length - 1);
        },
        runUntil: end => {
            while (timeAt(0) <= end) {
                const event = take();
                state.now = event?.at ?? end;
                event?.run();
            }
            state.now = end;
        },
    };
}
