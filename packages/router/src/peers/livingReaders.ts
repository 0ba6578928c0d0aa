import type { FailureDomain, Millis, VmId } from "@azureshunt/core";

import type { Members } from "./Members.js";

/** A VM counts as living when it was heard so lately. */
const LIVING_MS: Millis = 2_000;

/**
 * Lists the other VMs that live and read the store.
 *
 * @param domain only those of one failure domain; undefined for all
 */
export function livingReaders(members: Members, now: Millis, domain?: FailureDomain): readonly VmId[] {
    return [...members.known.values()]
        .filter(({ heard }) => heard !== undefined && now - heard.at < LIVING_MS && heard.beacon.hasStore)
        .filter(({ heard }) => domain === undefined || heard?.failureDomain === domain)
        .map(({ vm }) => vm);
}
