import type { QueueItem } from "./QueueItem.js";

/** Waiting requests of one organisation. */
export type QueueLane = {
    /** Work that the organisation got, divided by its weight, on the queue's virtual clock. */
    readonly virtualTime: number;
    /** Sorted by priority, deadline and arrival. */
    readonly items: readonly QueueItem[];
};
