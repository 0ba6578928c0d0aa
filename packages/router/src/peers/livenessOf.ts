import type { Millis } from "@azureshunt/core";

import type { Hearing } from "../allowance/Hearing.js";
import type { Spender } from "../allowance/Spender.js";
import { beaconInterval } from "./beaconInterval.js";
import type { DomainCount } from "./DomainCount.js";
import { isSilent } from "./isSilent.js";
import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";
import { remoteRelays } from "./remoteRelays.js";

type Member = NonNullable<ReturnType<Members["known"]["get"]>>;
type RelaySummary = NonNullable<Members["fleet"]>;

/** Rounds until all VMs have received what one sends: to its relay, to a relay of another domain, to a VM there. */
const HOPS = 3;

const repeat = (count: number, spender: Spender): readonly Spender[] =>
    Array.from({ length: Math.max(0, count) }, () => spender);

/** Returns the liveness of the VMs that a relay counts; if the relay is silent, all of them are. */
const countedBy = (
    { at, domains }: RelaySummary,
    silentAfterMs: Millis,
    now: Millis,
    spenderOf: (count: DomainCount) => Spender,
): Pick<Hearing, "peers" | "unheard"> => ({
    peers: domains.reduce((sum, { vms }) => sum + vms, 0),
    unheard: domains.flatMap(count => repeat(now - at > silentAfterMs ? count.vms : count.silent, spenderOf(count))),
});

/**
 * Lists the VMs from which this one receives beacons, or will receive them once it has settled. Of a failure domain
 * whose relays count its other VMs, these are the relays only.
 */
const directOf = (members: Members, now: Millis): readonly Member[] => {
    const isSettling = now - members.startedAt < peerTiming.settleMs;
    const isCounted = ({ failureDomain }: Member): boolean =>
        failureDomain !== undefined && failureDomain !== members.failureDomain && members.behind.has(failureDomain);
    const others = [...members.known.values()].filter(member =>
        !isCounted(member)
        && (member.seenAt === -Infinity ? isSettling : now - member.seenAt < peerTiming.goneMs)
    );
    return [...others, ...remoteRelays(members, now).filter(isCounted)];
};

/** Returns how many peers there are, which of them are silent, and how long state takes to reach all VMs. */
export function livenessOf(members: Members, isRelay: boolean, now: Millis): Hearing {
    const interval = beaconInterval(members.known.size);
    const silentAfterMs = peerTiming.missedBeacons * interval;
    const { fleet } = members;
    if (!isRelay && fleet !== undefined && now - fleet.at < peerTiming.goneMs) {
        const { peers, unheard } = countedBy(fleet, silentAfterMs, now, () => "fleet");
        return { peers: Math.max(0, peers - 1), unheard, newsMs: HOPS * interval, isPartial: false };
    }
    const direct = directOf(members, now);
    const counted = [...members.behind.values()]
        .filter(({ at }) => now - at < peerTiming.goneMs)
        .map(summary => countedBy(summary, silentAfterMs, now, ({ failureDomain }) => `domain ${failureDomain}`));
    const countedPeers = counted.reduce((sum, { peers }) => sum + peers, 0);
    const neighbours = direct.filter(({ failureDomain }) => failureDomain === members.failureDomain).length;
    // If all VMs are relays, each sends to all others directly.
    const hops = countedPeers === 0 && neighbours < peerTiming.relays ? 1 : HOPS;
    return {
        peers: direct.length + countedPeers,
        unheard: [
            ...direct.filter(member => isSilent(members, member, now)).map(({ vm }) => vm),
            ...counted.flatMap(({ unheard }) => unheard),
        ],
        newsMs: hops * interval,
        isPartial: !members.isListed,
    };
}
