import type { Millis, Tokens } from "@azureshunt/core";

import type { Members } from "./Members.js";

/**
 * Time for which a received demand counts, even if its VM has stopped sending: its callers then go to other VMs. Once
 * a VM's final beacon is received, its demand no longer counts.
 */
const DEMAND_EXPIRY_MS = 5_000;

type ReceivedDemand = { readonly at: Millis; readonly demand: Tokens; };

/** Returns the sum of the prompt tokens that callers send to the other VMs per millisecond. */
export function peerDemand(members: Members, isRelay: boolean, now: Millis): Tokens {
    const direct = [...members.known.values()].flatMap(({ lastReceived }): readonly ReceivedDemand[] =>
        lastReceived === undefined ? [] : [{ at: lastReceived.receivedAt, demand: lastReceived.beacon.demand }]
    );
    const relayed = isRelay
        ? [...members.domainSummaries.values()]
        : members.fleetSummary === undefined
        ? []
        : [members.fleetSummary];
    return [...direct, ...relayed]
        .filter(({ at }) => now - at < DEMAND_EXPIRY_MS)
        .reduce((sum, { demand }) => sum + demand, 0);
}
