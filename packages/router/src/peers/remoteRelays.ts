import type { FailureDomain, Millis } from "@azureshunt/core";

import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";

type Member = NonNullable<ReturnType<Members["known"]["get"]>>;

const lastReceivedByDomain = (members: Members): ReadonlyMap<FailureDomain, Millis> => {
    const last = new Map<FailureDomain, Millis>();
    members.known.forEach(({ heard }) => {
        if (heard !== undefined) {
            last.set(heard.failureDomain, Math.max(heard.at, last.get(heard.failureDomain) ?? -Infinity));
        }
    });
    return last;
};

/**
 * Lists the relays of other failure domains that send to this VM, or did until their domain fell silent. A relay from
 * which nothing came for longer than from others of its domain is left out, as those count it.
 */
export function remoteRelays(members: Members, now: Millis): readonly Member[] {
    const last = lastReceivedByDomain(members);
    return [...members.known.values()].filter(({ failureDomain, heard }) =>
        failureDomain !== members.failureDomain
        && heard?.beacon.scope === "domain"
        && now - heard.at < peerTiming.goneMs
        && heard.at > (last.get(heard.failureDomain) ?? -Infinity) - peerTiming.aliveMs
    );
}
