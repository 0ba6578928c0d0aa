import type { Millis } from "@azureshunt/core";

/** What an answer said of the limit of an endpoint. */
export type LimitStatement = {
    readonly bornAt: number;
    /** Requests a second; undefined if it named none. */
    readonly perSecond: number | undefined;
    readonly seenAt: Millis;
};
