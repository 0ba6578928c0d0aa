import type { Millis, VmId } from "@azureshunt/core";

import { livingReaders } from "../peers/livingReaders.js";
import type { Members } from "../peers/Members.js";

/**
 * Says how many VMs go before this one in claiming the order lease: the last holder first, so that it stays where it is,
 * then all that read the store, by name.
 */
export function leaseRank(members: Members, lastHolder: VmId | undefined, hasStore: boolean, now: Millis): number {
    if (lastHolder === members.vm) {
        return 0;
    }
    const living = livingReaders(members, now);
    const before = living.filter(vm => vm !== lastHolder && vm < members.vm).length;
    // One that does not read the store leaves the claim to those that do.
    const last = lastHolder === undefined ? 0 : 1;
    return last + before + (hasStore ? 0 : living.length);
}
