import type { EndpointName, Millis } from "@azureshunt/core";

/**
 * What a beacon says of an endpoint that wants no requests: start of its incarnation; how long ago it said that it leaves,
 * -1 if it has not; how much longer it wants a pause, 0 if it wants none.
 */
export type AvailabilityRow = readonly [endpoint: EndpointName, bornAt: number, leavingAgeMs: Millis, pauseMs: Millis];
