import type { FailureDomain, Millis, Peer, VmId } from "@azureshunt/core";

type PeerQuery = {
    readonly peers: readonly Peer[];
    /** Failure domain of this VM. */
    readonly failureDomain: FailureDomain;
    /** By VM: until when it is not asked, as it could not open connections itself. */
    readonly avoidedUntil: ReadonlyMap<VmId, Millis>;
};

/**
 * Returns the peers to ask for a connection, the first one first: those of the own failure domain before all others,
 * as bytes between domains cost more, and otherwise in random order, so that they share the load. In a domain that has
 * lost its links as a whole, its peers are soon avoided.
 *
 * @param random uniformly distributed in [0, 1)
 */
export function orderPeers(
    { peers, failureDomain, avoidedUntil }: PeerQuery,
    now: Millis,
    random: () => number,
): readonly Peer[] {
    return peers
        .filter(({ vm }) => (avoidedUntil.get(vm) ?? -Infinity) <= now)
        .map(peer => ({ peer, rank: (peer.failureDomain === failureDomain ? 0 : 1) + random() }))
        .sort((a, b) => a.rank - b.rank)
        .map(({ peer }) => peer);
}
