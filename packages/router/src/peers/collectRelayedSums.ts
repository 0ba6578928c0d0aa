import type { VmId } from "@azureshunt/core";

import type { BeaconScope } from "./BeaconScope.js";
import type { PeerSyncSources } from "./PeerSyncSources.js";
import type { RelayedSums } from "./RelayedSums.js";

const noSums: RelayedSums = { relayedSpent: [], relayedLoad: [], relayedDemand: 0 };

/**
 * Collects the sums that a relay sends.
 *
 * @returns a function that gives the sums for one receiver, without what this receiver itself contributed
 */
export function collectRelayedSums(
    { allowances, membership, peerLoad }: Pick<PeerSyncSources, "allowances" | "membership" | "peerLoad">,
    scope: BeaconScope,
): (target: VmId | undefined) => RelayedSums {
    if (scope !== "domain" && scope !== "fleet") {
        return () => noSums;
    }
    const spent = allowances.relayedSpent(scope);
    const load = peerLoad.relayedLoad(scope);
    const demand = membership.relayedDemand(scope);
    return target => ({
        relayedSpent: spent(target),
        relayedLoad: load(target),
        relayedDemand: demand(target),
    });
}
