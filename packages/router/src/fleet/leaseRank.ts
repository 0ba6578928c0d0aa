import type { Millis, VmId } from "@azureshunt/core";

import { liveReaders } from "../peers/liveReaders.js";
import type { Members } from "../peers/Members.js";

/**
 * Returns how many VMs may claim the order lease before this one: first the last holder, so that the lease stays where
 * it is, then all VMs that read the store, by name.
 */
export function leaseRank(members: Members, lastHolder: VmId | undefined, hasStore: boolean, now: Millis): number {
    if (lastHolder === members.vm) {
        return 0;
    }
    const readers = liveReaders(members, now);
    const before = readers.filter(vm => vm !== lastHolder && vm < members.vm).length;
    // A VM that does not read the store claims after all VMs that do.
    const lastHolderCount = lastHolder === undefined ? 0 : 1;
    return lastHolderCount + before + (hasStore ? 0 : readers.length);
}
