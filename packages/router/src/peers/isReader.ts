import type { FailureDomain, Millis, VmId } from "@azureshunt/core";

import { liveReaders } from "./liveReaders.js";
import type { Members } from "./Members.js";
import { relaysOf } from "./relaysOf.js";

/**
 * Returns whether this VM reads the store for the others. The reader is the first by name of the live relays that have
 * the store, as what a relay sends reaches the others soonest. If two VMs take themselves for the reader, or none does,
 * only the number of reads changes, since a VM whose data gets too old reads for itself.
 *
 * Whether this VM itself has the store is not checked. Without it, the function may still return true, and the next
 * relay by name also takes itself for the reader, as the beacons of this VM say that it does not have the store.
 *
 * @param domain this VM's failure domain, if the reader of that domain alone is meant; `undefined` for the reader of
 * all VMs
 */
export function isReader(members: Members, now: Millis, domain?: FailureDomain): boolean {
    const relays = relaysOf(members, members.failureDomain, now);
    const isRelay = (vm: VmId): boolean => {
        const memberDomain = members.known.get(vm)?.failureDomain;
        return memberDomain !== undefined && relaysOf(members, memberDomain, now).includes(vm);
    };
    return relays.includes(members.vm)
        && liveReaders(members, now, domain).filter(vm => vm < members.vm).every(vm => !isRelay(vm));
}
