import type { Millis } from "@azureshunt/core";

import { allEndpoints } from "./allEndpoints.js";
import type { EndpointGroup } from "./EndpointGroup.js";
import { groupsOf } from "./groupsOf.js";
import type { LinkState } from "./LinkState.js";
import { linkTiming } from "./linkTiming.js";

type UnopenedLink = NonNullable<ReturnType<LinkState["unopened"]["get"]>>;

/** Fewer endpoints may have a fault of their own, or share a link that has failed. */
const MIN_LOST = 3;
/** With links to some endpoints of a group left, one of them opens a connection within this time while requests arrive. */
const MIN_MS: Millis = 250;

/** Lists the links into a group that have not opened a connection since any link into it last did. */
const lostLinks = (state: LinkState, group: EndpointGroup, now: Millis): readonly UnopenedLink[] => {
    const openedAt = state.openedAt.get(group) ?? -Infinity;
    return [...state.unopened.values()].filter(({ target, bypassedAt, failedAt }) => {
        const reachedAt = state.reachedAt.get(target.service) ?? -Infinity;
        // Connections from before may live on, so an answer does not refute a peer that opens new ones.
        const lostAt = failedAt > reachedAt ? Math.max(bypassedAt, failedAt) : bypassedAt;
        return lostAt > openedAt && now - lostAt < linkTiming.blockedMs && groupsOf(target).includes(group);
    });
};

/** Returns whether a service was reached lately to which no link is lost. */
const isAnotherServiceReached = (state: LinkState, lost: readonly UnopenedLink[], now: Millis): boolean => {
    const lostServices = new Set(lost.map(({ target }) => target.service));
    return [...state.reachedAt].some(([service, at]) => now - at < linkTiming.blockedMs && !lostServices.has(service));
};

/**
 * Returns whether this VM seems to have lost its links to all endpoints of a group: several have not opened connections,
 * and none has for a while. Either peers reach these endpoints, or nothing of their service answers.
 */
export function isCutOff(state: LinkState, group: EndpointGroup, now: Millis): boolean {
    const openedAt = state.openedAt.get(group) ?? -Infinity;
    if (state.unopened.size < MIN_LOST || now - openedAt < MIN_MS) {
        return false;
    }
    const lost = lostLinks(state, group, now);
    return lost.length >= MIN_LOST && !(group === allEndpoints && isAnotherServiceReached(state, lost, now));
}
