import type { Millis } from "@azureshunt/core";

import type { Members } from "./Members.js";

type Member = NonNullable<ReturnType<Members["known"]["get"]>>;
type RelaySummary = NonNullable<Members["fleetSummary"]>;

/**
 * Takes a time in which this process did not run off the silence of its peers.
 *
 * What they sent meanwhile lies unread. Before it is read, live peers would be taken for silent or gone: relays would
 * change, their spending would be assumed, and helpers would be missing. What is told to others stays as old as it is.
 */
export function addPause(members: Members, ms: Millis, now: Millis): Members {
    const later = (at: Millis): Millis => Math.min(now, at + ms);
    const moveMember = (member: Member): Member => {
        const { lastSeenAt, pausedMs = 0, lastReceived } = member;
        const movedAt = later(lastSeenAt);
        return lastSeenAt === -Infinity ? member : {
            ...member,
            lastSeenAt: movedAt,
            pausedMs: pausedMs + movedAt - lastSeenAt,
            lastReceived: lastReceived && { ...lastReceived, receivedAt: later(lastReceived.receivedAt) },
        };
    };
    const moveSummary = (summary: RelaySummary): RelaySummary => {
        const { at, pausedMs = 0 } = summary;
        const movedAt = later(at);
        return { ...summary, at: movedAt, pausedMs: pausedMs + movedAt - at };
    };
    const { known, domainSummaries, fleetSummary, startedAt } = members;
    return {
        ...members,
        startedAt: later(startedAt),
        known: new Map([...known].map(([vm, member]) => [vm, moveMember(member)] as const)),
        domainSummaries: new Map([...domainSummaries].map(([domain, each]) => [domain, moveSummary(each)] as const)),
        fleetSummary: fleetSummary && moveSummary(fleetSummary),
    };
}
