import type { Millis } from "@azureshunt/core";

import type { PeerLiveness } from "../allowance/PeerLiveness.js";
import type { Spender } from "../allowance/Spender.js";
import { beaconInterval } from "./beaconInterval.js";
import type { DomainCount } from "./DomainCount.js";
import { isSilent } from "./isSilent.js";
import type { Members } from "./Members.js";
import { peerTiming } from "./peerTiming.js";
import { remoteRelays } from "./remoteRelays.js";

type Member = NonNullable<ReturnType<Members["known"]["get"]>>;
type RelaySummary = NonNullable<Members["fleetSummary"]>;

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
): Pick<PeerLiveness, "peers" | "silent"> => ({
    peers: domains.reduce((sum, { vms }) => sum + vms, 0),
    silent: domains.flatMap(count => repeat(now - at > silentAfterMs ? count.vms : count.silent, spenderOf(count))),
});

/**
 * Lists the VMs from which this one receives beacons, or will receive them once it has settled. Of a failure domain
 * whose relays count its other VMs, these are the relays only.
 */
const directOf = (members: Members, now: Millis): readonly Member[] => {
    const isSettling = now - members.startedAt < peerTiming.settleMs;
    const isCounted = ({ failureDomain }: Member): boolean =>
        failureDomain !== undefined && failureDomain !== members.failureDomain &&
        members.domainSummaries.has(failureDomain);
    const others = [...members.known.values()].filter(member =>
        !isCounted(member)
        && (member.lastSeenAt === -Infinity ? isSettling : now - member.lastSeenAt < peerTiming.goneMs)
    );
    return [...others, ...remoteRelays(members, now).filter(isCounted)];
};

/** Returns how many peers there are, which of them are silent, and how long state takes to reach all VMs. */
export function livenessOf(members: Members, isRelay: boolean, now: Millis): PeerLiveness {
    const interval = beaconInterval(members.known.size);
    const silentAfterMs = peerTiming.missedBeacons * interval;
    const { fleetSummary } = members;
    if (!isRelay && fleetSummary !== undefined && now - fleetSummary.at < peerTiming.goneMs) {
        const { peers, silent } = countedBy(fleetSummary, silentAfterMs, now, () => "fleet");
        return { peers: Math.max(0, peers - 1), silent, propagationMs: HOPS * interval, isPartial: false };
    }
    const direct = directOf(members, now);
    const counted = [...members.domainSummaries.values()]
        .filter(({ at }) => now - at < peerTiming.goneMs)
        .map(summary => countedBy(summary, silentAfterMs, now, ({ failureDomain }) => `domain ${failureDomain}`));
    const countedPeers = counted.reduce((sum, { peers }) => sum + peers, 0);
    const neighbours = direct.filter(({ failureDomain }) => failureDomain === members.failureDomain).length;
    // If all VMs are relays, each sends to all others directly.
    const hops = countedPeers === 0 && neighbours < peerTiming.relays ? 1 : HOPS;
    return {
        peers: direct.length + countedPeers,
        silent: [
            ...direct.filter(member => isSilent(members, member, now)).map(({ vm }) => vm),
            ...counted.flatMap(({ silent }) => silent),
        ],
        propagationMs: hops * interval,
        isPartial: !members.isListed,
    };
}
