import type { Millis } from "@azureshunt/core";

/** What is known of whether one incarnation of an endpoint wants requests of this VM. */
export type EndpointAvailability = {
    /** Start of the incarnation, in milliseconds since the epoch. */
    readonly bornAt: number;
    /** When it first said that it leaves; undefined if it has not. */
    readonly leavingSince: Millis | undefined;
};
