import type { ListedVm, Membership } from "@azureshunt/membership";

import type { MembershipPort } from "../ports/MembershipPort.js";
import type { Settings } from "../Settings.js";

type Members = ReturnType<MembershipPort["members"]>;

/**
 * The other VMs as far as they are known: those that have joined by the log, else those that the platform lists, else
 * those of the settings; and this VM itself first.
 */
export function membersOf(
    self: MembershipPort["self"],
    membership: Membership,
    listed: readonly ListedVm[],
    seeds: Settings["peers"]["seeds"],
): Members {
    const joined: Members = [...membership.members.values()].map(({ vm, failureDomain, state, peer, admin, run }) => ({
        vm,
        failureDomain,
        state,
        peer,
        admin,
        incarnation: run,
    }));
    const others: Members = listed.map(vm => ({ ...vm, incarnation: undefined }));
    const seeded: Members = joined.length + others.length > 0 ? [] : seeds.map(({ vm, failureDomain, address }) => ({
        vm,
        failureDomain,
        state: "live",
        peer: address,
        admin: "",
        incarnation: undefined,
    }));
    const known = new Map([...seeded, ...others, ...joined].map(member => [member.vm, member]));
    return [self, ...[...known.values()].filter(member => member.vm !== self.vm)];
}
