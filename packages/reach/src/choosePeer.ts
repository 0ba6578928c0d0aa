import type { FailureDomain, Millis, Peer } from "@azureshunt/core";

import { helperRank } from "./helperRank.js";
import { isSearchOver } from "./isSearchOver.js";
import { knownPeers } from "./knownPeers.js";
import type { PeerAttempt } from "./PeerAttempt.js";
import type { PeerQuery } from "./PeerQuery.js";
import { peerTiming } from "./peerTiming.js";
import { serviceHistoryOf } from "./serviceHistoryOf.js";

/**
 * Share of the connections for which a peer that opened one lately goes before those of its domain of which nothing is
 * known, while some of the domain are cut off. The rest finds more peers that can help, so that they share the load.
 */
const HELPER_SHARE = 0.75;
/** Peers of one failure domain that are asked in turn before those of another one have theirs. */
const PEERS_A_TURN = 2;

type RankedPeer = { readonly peer: Peer; readonly rank: readonly number[]; };

/** A peer that only says that it cannot help answers at once; any other one takes the whole turn of its domain. */
const turnsTaken = (attempts: readonly PeerAttempt[], domain: FailureDomain | undefined): number =>
    Math.floor(
        attempts
            .filter(({ peer }) => peer.failureDomain === domain)
            .reduce((sum, { outcome }) => sum + (outcome === "peer" ? 1 : PEERS_A_TURN), 0) / PEERS_A_TURN,
    );

/** Compares ranks by their first numbers that differ. */
const compare = (a: readonly number[], b: readonly number[]): number =>
    a.reduce((difference, rank, i) => difference === 0 ? rank - (b[i] ?? 0) : difference, 0);

/**
 * Returns the peer to ask next for a connection; `undefined` if no further one should be asked.
 *
 * Peers of the own domain go first, as bytes between domains cost more, unless another domain has just outdone it. As
 * the peers of a domain often fail together, no domain has a second turn before each other one has had its first. Once a
 * peer has failed, those that opened connections lately go first. Those that could not help lately come last: a pause of
 * this process lets all that were asked seem not to answer.
 *
 * @param random uniformly distributed in [0, 1)
 */
export function choosePeer(query: PeerQuery, now: Millis, random: () => number): Peer | undefined {
    const { failureDomain, history, service, attempts } = query;
    const { avoidedUntil, outdoneAt } = serviceHistoryOf(history, service);
    const asked = new Set(attempts.map(({ peer }) => peer.vm));
    const isAvoided = ({ vm }: Peer): boolean => (avoidedUntil.get(vm) ?? -Infinity) > now;
    const known = knownPeers(query, now);
    const candidates = known.filter(peer => !asked.has(peer.vm));
    if (isSearchOver(query, candidates.filter(peer => !isAvoided(peer)))) {
        return undefined;
    }
    const partlyCutOff = new Set(known.filter(isAvoided).map(peer => peer.failureDomain));
    const isHelperFirst = random() < HELPER_SHARE;
    const domainRanks = new Map(
        [...new Set(candidates.map(peer => peer.failureDomain))].map(domain => {
            const isOutdone = now - (outdoneAt.get(domain) ?? -Infinity) < peerTiming.outdoneMs;
            return [domain, [turnsTaken(attempts, domain), isOutdone ? 1 : 0]] as const;
        }),
    );
    const rankOf = (peer: Peer): readonly number[] => {
        const domain = peer.failureDomain;
        const helper = helperRank(history, service, peer, now);
        return [
            isAvoided(peer) ? 1 : 0,
            ...domainRanks.get(domain) ?? [],
            attempts.length > 0 ? helper : 0,
            domain === failureDomain ? 0 : 1,
            isHelperFirst && partlyCutOff.has(domain) ? helper : 0,
            random(),
        ];
    };
    return candidates
        .map(peer => ({ peer, rank: rankOf(peer) }))
        .reduce<RankedPeer | undefined>(
            (first, each) => first === undefined || compare(each.rank, first.rank) < 0 ? each : first,
            undefined,
        )?.peer;
}
