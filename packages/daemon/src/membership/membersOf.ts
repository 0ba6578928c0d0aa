import type { ListedVm, Membership } from "@azureshunt/membership";

import type { MembershipPort } from "../ports/MembershipPort.js";
import type { Settings } from "../Settings.js";

type Members = ReturnType<MembershipPort["members"]>;

/**
 * Returns this VM, followed by the other known VMs: those that joined by the log and those that the platform lists
 * (the log's entry wins), or the seeds of the settings if there are neither.
 */
export function membersOf(
    self: MembershipPort["self"],
    membership: Membership,
    listed: readonly ListedVm[],
    seeds: Settings["peers"]["seeds"],
): Members {
    const joinedMembers: Members = [...membership.members.values()]
        .map(({ vm, failureDomain, state, peer, admin, run }) => ({
            vm,
            failureDomain,
            state,
            peer,
            admin,
            incarnation: run,
        }));
    const listedMembers: Members = listed.map(vm => ({ ...vm, incarnation: undefined }));
    const seedMembers: Members = joinedMembers.length + listedMembers.length > 0
        ? []
        : seeds.map(({ vm, failureDomain, address }) => ({
            vm,
            failureDomain,
            state: "live",
            peer: address,
            admin: "",
            incarnation: undefined,
        }));
    const known = new Map([...seedMembers, ...listedMembers, ...joinedMembers].map(member => [member.vm, member]));
    return [self, ...[...known.values()].filter(member => member.vm !== self.vm)];
}
