import type { EndpointName, Millis } from "@azureshunt/core";

/**
 * What VMs send each other about a limit: endpoint, start of its incarnation, requests a second (`NO_LIMIT` if it named
 * none), age of the answer that said so.
 */
export type LimitRow = readonly [endpoint: EndpointName, bornAt: number, perSecond: number, ageMs: Millis];
