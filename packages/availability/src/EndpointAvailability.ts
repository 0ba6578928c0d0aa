import type { Millis } from "@azureshunt/core";

/** What is known of whether one incarnation of an endpoint wants requests of this VM. */
export type EndpointAvailability = {
    /** Start of the incarnation, in milliseconds since the epoch. */
    readonly bornAt: number;
    /** When it first said that it leaves; undefined if it has not. */
    readonly leavingSince: Millis | undefined;
    /** Until when it has asked this VM for no requests. */
    readonly pausedUntil: Millis;
    /** Until when other endpoints are preferred. */
    readonly avoidedUntil: Millis;
    /** Refusals since it last served a request, those of requests that were under way at once counted once. */
    readonly refusedInRow: number;
    readonly refusedAt: Millis;
    /** Until when an endpoint wants a pause, as this VM or a peer was told, and when this VM learned that. */
    readonly toldUntil: Millis;
    readonly toldAt: Millis;
};
