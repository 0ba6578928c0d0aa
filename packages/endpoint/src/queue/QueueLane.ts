import type { QueueItem } from "./QueueItem.js";

/** One organisation's part of a fair queue. */
export type QueueLane = {
    /** Work that the organisation was given, divided by its weight, on the queue's virtual clock. */
    readonly virtualTime: number;
    /** In the order of priority, deadline and arrival. */
    readonly items: readonly QueueItem[];
};
