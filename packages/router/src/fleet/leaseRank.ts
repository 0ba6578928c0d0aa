import type { Millis, VmId } from "@azureshunt/core";

import type { Members } from "../peers/Members.js";

/** A VM counts as living for the order of claims when it was heard so lately. */
const LIVING_MS = 2_000;

/**
 * Says how many VMs go before this one in claiming the order lease: the last holder first, so that it stays where it is,
 * then all that read the store, by name.
 */
export function leaseRank(members: Members, lastHolder: VmId | undefined, hasStore: boolean, now: Millis): number {
    if (lastHolder === members.vm) {
        return 0;
    }
    const living = [...members.known.values()].filter(({ heard }) =>
        heard !== undefined && now - heard.at < LIVING_MS && heard.beacon.hasStore
    ).map(({ vm }) => vm);
    const before = living.filter(vm => vm === lastHolder || vm < members.vm).length;
    // One that does not read the store leaves the claim to those that do.
    return before + 1 + (hasStore ? 0 : living.length);
}
