import type { Millis, OrganisationId, RequestId, Tokens } from "@azureshunt/core";

/** One request that waits for an endpoint. */
export type QueueItem = {
    readonly id: RequestId;
    readonly organisation: OrganisationId;
    /** Weight of the organisation; twice the weight gets twice the work. */
    readonly weight: number;
    /** Work that the request brings, in tokens. */
    readonly cost: Tokens;
    /** 0 goes first. */
    readonly priority: number;
    readonly deadline: Millis;
    readonly arrivedAt: Millis;
};
