import type { FailureDomain, Millis } from "@azureshunt/core";

import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";

type Member = NonNullable<ReturnType<Members["known"]["get"]>>;

const lastReceivedByDomain = (members: Members): ReadonlyMap<FailureDomain, Millis> => {
    const last = new Map<FailureDomain, Millis>();
    members.known.forEach(({ lastReceived }) => {
        if (lastReceived !== undefined) {
            last.set(
                lastReceived.failureDomain,
                Math.max(lastReceived.receivedAt, last.get(lastReceived.failureDomain) ?? -Infinity),
            );
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
    return [...members.known.values()].filter(({ failureDomain, lastReceived }) =>
        failureDomain !== members.failureDomain
        && lastReceived?.beacon.scope === "domain"
        && now - lastReceived.receivedAt < peerTiming.goneMs
        && lastReceived.receivedAt > (last.get(lastReceived.failureDomain) ?? -Infinity) - peerTiming.aliveMs
    );
}
