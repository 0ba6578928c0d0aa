import type { FailureDomain, OrganisationId, VmId } from "@azureshunt/core";
import { rendezvousOrder } from "@azureshunt/core";

import type { MemberEntry } from "./MemberEntry.js";

/**
 * The home VM of an organisation in a failure domain.
 *
 * @param members the members as folded from the log; the platform's list takes no part, as each VM sees another one
 */
export function homeOf(
    members: Iterable<Pick<MemberEntry, "vm" | "failureDomain">>,
    organisation: OrganisationId,
    domain: FailureDomain,
): VmId | undefined {
    const candidates = [...members].filter(member => member.failureDomain === domain).map(member => member.vm);
    return rendezvousOrder(`${domain}\0${organisation}`, candidates)[0];
}
