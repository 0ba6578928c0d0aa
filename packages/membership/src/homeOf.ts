import type { FailureDomain, OrganisationId, VmId } from "@azureshunt/core";
import { rendezvousOrder } from "@azureshunt/core";

import type { MemberEntry } from "./MemberEntry.js";

/**
 * Returns the home VM of an organisation in a failure domain; undefined if the domain has no members.
 *
 * @param members the members as folded from the log; the platform's list is not used, as VMs may see different lists
 */
export function homeOf(
    members: Iterable<Pick<MemberEntry, "vm" | "failureDomain">>,
    organisation: OrganisationId,
    domain: FailureDomain,
): VmId | undefined {
    const candidates = [...members].filter(member => member.failureDomain === domain).map(member => member.vm);
    return rendezvousOrder(`${domain}\0${organisation}`, candidates)[0];
}
