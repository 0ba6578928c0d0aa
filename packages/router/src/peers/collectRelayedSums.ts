import type { VmId } from "@azureshunt/core";

import type { BeaconScope } from "./BeaconScope.js";
import type { NewsSources } from "./NewsSources.js";
import type { RelayedSums } from "./RelayedSums.js";

const noSums: RelayedSums = { passedSpent: [], relayedLoad: [], relayedDemand: 0 };

/**
 * Collects the sums that a relay sends.
 *
 * @returns a function that gives the sums for one receiver, without what this receiver itself contributed
 */
export function collectRelayedSums(
    { allowances, membership, othersLoad }: Pick<NewsSources, "allowances" | "membership" | "othersLoad">,
    scope: BeaconScope,
): (target: VmId | undefined) => RelayedSums {
    if (scope !== "domain" && scope !== "fleet") {
        return () => noSums;
    }
    const spent = allowances.passed(scope);
    const load = othersLoad.relayedLoad(scope);
    return target => ({
        passedSpent: spent(target),
        relayedLoad: load(target),
        relayedDemand: membership.relayedDemand(scope, target),
    });
}
