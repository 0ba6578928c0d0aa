import type { Millis, VmId } from "@azureshunt/core";

import { domainsOf } from "../peers/domainsOf.js";
import { liveReaders } from "../peers/liveReaders.js";
import type { Members } from "../peers/Members.js";
import { relaysOf } from "../peers/relaysOf.js";

/**
 * Returns how many VMs may claim the order lease before this one: first the last holder, so that the lease stays where
 * it is, then all VMs that read the store, then the other relays, each by name, then all others.
 *
 * One VM reads the store for all. If the others had the same rank, they would all claim at once when it dies.
 */
export function leaseRank(members: Members, lastHolder: VmId | undefined, hasStore: boolean, now: Millis): number {
    if (lastHolder === members.vm) {
        return 0;
    }
    const isOther = (vm: VmId): boolean => vm !== lastHolder && vm !== members.vm;
    const readers = liveReaders(members, now).filter(isOther);
    const relays = domainsOf(members).flatMap(domain => relaysOf(members, domain, now));
    const otherRelays = relays.filter(vm => isOther(vm) && !readers.includes(vm));
    const lastHolderCount = lastHolder === undefined ? 0 : 1;
    const isBefore = (vm: VmId): boolean => vm < members.vm;
    if (hasStore) {
        return lastHolderCount + readers.filter(isBefore).length;
    }
    const relaysBefore = relays.includes(members.vm) ? otherRelays.filter(isBefore) : otherRelays;
    return lastHolderCount + readers.length + relaysBefore.length;
}
