import type { Millis } from "@azureshunt/core";

/** Bound on what an endpoint has not read of the bodies that all VMs have sent it, as it was lowered last. */
export type EndpointBound = {
    readonly bytes: number;
    readonly loweredAt: Millis;
};
