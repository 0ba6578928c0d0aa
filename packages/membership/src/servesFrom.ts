import type { Millis, OrganisationId } from "@azureshunt/core";

import { homeOf } from "./homeOf.js";
import type { Membership } from "./Membership.js";

/**
 * Returns the time at which a newly opened bucket of an organisation counts as empty, if this VM may serve as the
 * organisation's home in its failure domain.
 *
 * Starting empty is not enough: a former home's grants may still be spent by other VMs, so accruing tokens meanwhile
 * would allow more than the burst. So a home serves only once these grants have expired, and accrues from then on.
 * Tokens that the former home itself spent just before its end are covered, as they were within its own level and
 * accrual ended with it.
 *
 * @returns undefined while this VM may not serve
 */
export function servesFrom(membership: Membership, organisation: OrganisationId, now: Millis): Millis | undefined {
    const { self, members, awaiting, departures, emptyFrom } = membership;
    const domain = self.failureDomain;
    const hasAllHandOvers = membership.joinedAt !== undefined && awaiting.length === 0;
    const isConfirmed = membership.confirmedByLog && membership.confirmedByList;
    if (!hasAllHandOvers || !isConfirmed || homeOf(members.values(), organisation, domain) !== self.vm) {
        return undefined;
    }
    const former = departures
        .filter(departure => !members.has(departure.vm))
        .filter(({ vm }) => homeOf([...members.values(), { vm, failureDomain: domain }], organisation, domain) === vm);
    const from = former.reduce((latest, departure) => Math.max(latest, departure.emptyFrom), emptyFrom);
    const isWaitOver = former.every(departure => departure.waitUntil <= now);
    return isWaitOver && from <= now ? from : undefined;
}
