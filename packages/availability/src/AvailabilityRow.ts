import type { EndpointName, Millis } from "@azureshunt/core";

/**
 * What a beacon says of an endpoint that wants no requests: start of its incarnation; how long ago it said that it leaves.
 */
export type AvailabilityRow = readonly [endpoint: EndpointName, bornAt: number, leavingAgeMs: Millis];
