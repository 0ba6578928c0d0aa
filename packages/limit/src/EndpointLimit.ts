import type { Millis } from "@azureshunt/core";

/** What a VM knows of the limit of one endpoint, and the turns that it has there. */
export type EndpointLimit = {
    /** Start of the endpoint's incarnation. */
    readonly bornAt: number;
    /** Requests a second that it takes from all VMs together; undefined if it named no limit when it was last asked. */
    readonly perSecond: number | undefined;
    /** When an answer to any VM last said so, as far as this VM knows. */
    readonly seenAt: Millis;
    /** When this VM learned of the limit, or of its end. */
    readonly changedAt: Millis;
    /** Turns that this VM has gathered: with 1 or more it may send a request. */
    readonly turns: number;
    /** When `turns` last reached 1. */
    readonly turnSince: Millis;
    /** When this VM sent its latest requests there, within `limitTiming.sentMs`. */
    readonly sentAt: readonly Millis[];
};
