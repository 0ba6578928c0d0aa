import type { Millis, OrganisationId } from "@azureshunt/core";

import { homeOf } from "./homeOf.js";
import type { Membership } from "./Membership.js";

/**
 * Whether this VM may act as an organisation's home in its failure domain, and from when a bucket opened anew counts as
 * empty.
 *
 * Starting empty is not enough: a former home's grants may still be spent by other VMs, so that accruing beside them
 * would allow more than the burst. So a home serves only once these have run out, and accrues from then. What the former
 * home itself spent just before its end is covered, as it was within its own level and accrual ended with it.
 *
 * @returns undefined while this VM may not serve
 */
export function servesFrom(membership: Membership, organisation: OrganisationId, now: Millis): Millis | undefined {
    const { self, members, awaiting, departures, emptyFrom } = membership;
    const domain = self.failureDomain;
    const settled = membership.joinedAt !== undefined && awaiting.length === 0;
    const confirmed = membership.confirmedByLog && membership.confirmedByList;
    if (!settled || !confirmed || homeOf(members.values(), organisation, domain) !== self.vm) {
        return undefined;
    }
    const former = departures
        .filter(departure => !members.has(departure.vm))
        .filter(({ vm }) => homeOf([...members.values(), { vm, failureDomain: domain }], organisation, domain) === vm);
    const from = former.reduce((latest, departure) => Math.max(latest, departure.emptyFrom), emptyFrom);
    const clear = former.every(departure => departure.clearAt <= now);
    return clear && from <= now ? from : undefined;
}
