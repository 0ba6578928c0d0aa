import type { AllowanceEvent } from "@azureshunt/allowance";
import { shareOf } from "@azureshunt/allowance";
import type { Millis, OrganisationId } from "@azureshunt/core";
import type { Membership } from "@azureshunt/membership";
import { homeOf, servesFrom } from "@azureshunt/membership";
import type { Configuration } from "@azureshunt/release";

import type { MembershipPort } from "../ports/MembershipPort.js";

type Placed = Extract<AllowanceEvent, { readonly kind: "placed"; }>;

/**
 * Returns the event with an organisation's current limits and its home in each failure domain.
 *
 * @param cfg the configuration in force
 * @param membership the membership from the log
 * @param members the members from any source, used until the log has been read
 * @returns undefined if the configuration does not name the organisation
 */
export function placeOrganisation(
    cfg: Configuration | undefined,
    membership: Membership,
    members: ReturnType<MembershipPort["members"]>,
    organisation: OrganisationId,
    now: Millis,
): Placed | undefined {
    const spec = cfg?.organisations.get(organisation);
    if (cfg === undefined || spec === undefined) {
        return undefined;
    }
    const domains = [...new Set([...cfg.endpoints.values()].map(endpoint => endpoint.failureDomain))].sort();
    const candidates = membership.members.size > 0 ? [...membership.members.values()] : members;
    const homes = [...new Set(candidates.map(member => member.failureDomain))].flatMap(domain => {
        const vm = homeOf(candidates, organisation, domain);
        return vm === undefined ? [] : [{ domain, vm, limits: shareOf(spec, domain, domains) }];
    });
    const { rate, burst } = spec;
    return { kind: "placed", limits: { rate, burst }, homes, servesFrom: servesFrom(membership, organisation, now) };
}
