import type { FailureDomain, Millis, VmId } from "@azureshunt/core";

import { isAlive } from "./isAlive.js";
import type { Members } from "./Members.js";

/**
 * Lists the peers that are alive and that the store has answered lately.
 *
 * @param domain failure domain of the peers; `undefined` for all
 */
export function liveReaders(members: Members, now: Millis, domain?: FailureDomain): readonly VmId[] {
    return [...members.known.values()]
        .filter(member => isAlive(member, now) && member.hasStore)
        .filter(({ failureDomain }) => domain === undefined || failureDomain === domain)
        .map(({ vm }) => vm);
}
