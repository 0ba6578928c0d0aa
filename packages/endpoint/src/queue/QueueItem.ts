import type { Millis, OrganisationId, RequestId, Tokens } from "@azureshunt/core";

/** A request that waits for an endpoint. */
export type QueueItem = {
    readonly id: RequestId;
    readonly organisation: OrganisationId;
    /** Weight of the organisation; its share of work is proportional. */
    readonly weight: number;
    /** Work of the request. */
    readonly cost: Tokens;
    /** 0 is the highest priority. */
    readonly priority: number;
    readonly deadline: Millis;
    readonly arrivedAt: Millis;
};
