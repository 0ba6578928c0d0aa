import type { FailureDomain, Millis, Peer, ServiceName } from "@azureshunt/core";

import type { PeerAttempt } from "./PeerAttempt.js";
import type { PeerHistory } from "./PeerHistory.js";
import { peerTiming } from "./peerTiming.js";
import { serviceHistoryOf } from "./serviceHistoryOf.js";

type PeerQuery = {
    /** Live peers that this VM knows. */
    readonly peers: readonly Peer[];
    /** Failure domain of this VM. */
    readonly failureDomain: FailureDomain;
    readonly history: PeerHistory;
    /** Service of the endpoint. */
    readonly service: ServiceName;
    /** Peers that were asked for the same connection. */
    readonly attempts: readonly PeerAttempt[];
};

/** Peers that are asked for one connection: further answers would come too late. */
const MAX_PEERS = 10;
/** The same while all attempts fail, so that a fleet that is cut off as a whole does not spend its time on asking. */
const MAX_PEERS_IN_VAIN = 3;
/** Attempts that must have failed in a row for that. */
const MIN_FAILED_IN_ROW = 48;
/** Peers that must have seen an endpoint fail before no other one is asked, unless there are fewer. */
const MIN_WITNESSES = 2;
/**
 * Share of the connections for which a peer that opened one lately goes before those of its domain of which nothing is
 * known, while some of the domain are cut off. The rest finds more peers that can help, so that they share the load.
 */
const HELPER_SHARE = 0.75;
/** Peers of one failure domain that are asked in turn before those of another one have theirs. */
const PEERS_A_TURN = 2;

const isVerdict = ({ outcome }: PeerAttempt): boolean =>
    outcome === "endpoint-refused" || outcome === "endpoint-silent";

/** A peer that only says that it cannot help answers at once; any other one takes the whole turn of its domain. */
const turnsTaken = (attempts: readonly PeerAttempt[], domain: FailureDomain | undefined): number =>
    Math.floor(
        attempts
            .filter(({ peer }) => peer.failureDomain === domain)
            .reduce((sum, { outcome }) => sum + (outcome === "peer" ? 1 : PEERS_A_TURN), 0) / PEERS_A_TURN,
    );

const knownPeers = ({ peers, history }: PeerQuery, now: Millis): readonly Peer[] => {
    const isLive = new Set(peers.map(({ vm }) => vm));
    const named = [...history.named.values()].filter(({ at }) => now - at < peerTiming.namedMs);
    const helpers = [...history.helpers.values()].filter(({ at }) => now - at < peerTiming.helperMs);
    const others = new Map([...named, ...helpers].map(({ peer }) => [peer.vm, peer]));
    return [...peers, ...[...others.values()].filter(({ vm }) => !isLive.has(vm))];
};

type RankedPeer = { readonly peer: Peer; readonly rank: readonly number[]; };

/** Compares ranks by their first numbers that differ. */
const compare = (a: readonly number[], b: readonly number[]): number =>
    a.reduce((difference, rank, i) => difference === 0 ? rank - (b[i] ?? 0) : difference, 0);

/**
 * Returns the peer to ask next for a connection; `undefined` if no further one should be asked, as all that could help
 * were asked, or peers of each failure domain have seen the endpoint fail.
 *
 * Peers of the own domain go first, as bytes between domains cost more, unless another domain has just outdone it. As
 * the peers of a domain often fail together, no domain has a second turn before each other one has had its first. Once a peer
 * has failed, those that opened connections lately go first.
 *
 * @param random uniformly distributed in [0, 1)
 */
export function choosePeer(query: PeerQuery, now: Millis, random: () => number): Peer | undefined {
    const { failureDomain, history, service, attempts } = query;
    const { avoidedUntil, outdoneAt, failedInRow } = serviceHistoryOf(history, service);
    const asked = new Set(attempts.map(({ peer }) => peer.vm));
    const isAvoided = ({ vm }: Peer): boolean => (avoidedUntil.get(vm) ?? -Infinity) > now;
    const known = knownPeers(query, now);
    const candidates = known.filter(peer => !asked.has(peer.vm) && !isAvoided(peer));
    const verdicts = attempts.filter(isVerdict);
    const witnesses = new Set(verdicts.map(({ peer }) => peer.failureDomain));
    const isConclusive = verdicts.length >= MIN_WITNESSES
        && candidates.every(({ failureDomain: domain }) => witnesses.has(domain));
    const maxPeers = failedInRow >= MIN_FAILED_IN_ROW ? MAX_PEERS_IN_VAIN : MAX_PEERS;
    if (attempts.length >= maxPeers || isConclusive) {
        return undefined;
    }
    const partlyCutOff = new Set(known.filter(isAvoided).map(peer => peer.failureDomain));
    const isHelper = ({ vm }: Peer): boolean => now - (history.helpers.get(vm)?.at ?? -Infinity) < peerTiming.helperMs;
    const isHelperFirst = random() < HELPER_SHARE;
    const domainRanks = new Map(
        [...new Set(candidates.map(peer => peer.failureDomain))].map(domain => {
            const isOutdone = now - (outdoneAt.get(domain) ?? -Infinity) < peerTiming.outdoneMs;
            return [domain, { turns: turnsTaken(attempts, domain), outdone: isOutdone ? 1 : 0 }] as const;
        }),
    );
    const rankOf = (peer: Peer): readonly number[] => {
        const domain = peer.failureDomain;
        const { turns = 0, outdone = 0 } = domainRanks.get(domain) ?? {};
        const isNextHelper = attempts.length > 0 && isHelper(peer);
        const isLessLikely = isHelperFirst && partlyCutOff.has(domain) && !isHelper(peer);
        return [turns, outdone, isNextHelper ? 0 : 1, domain === failureDomain ? 0 : 1, isLessLikely ? 1 : 0, random()];
    };
    return candidates
        .map(peer => ({ peer, rank: rankOf(peer) }))
        .reduce<RankedPeer | undefined>(
            (first, each) => first === undefined || compare(each.rank, first.rank) < 0 ? each : first,
            undefined,
        )?.peer;
}
