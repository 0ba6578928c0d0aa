import type { Millis } from "@azureshunt/core";

/** Which refused callers of a service are to come back to it, and how many requests it takes. */
export type ReturnSchedule = {
    readonly at: Millis;
    /** Requests that were sent to endpoints, older ones counted less. */
    readonly recentlySent: number;
    /** Callers that are to come back, by the priority of their kind. */
    readonly returning: readonly number[];
};
