import type { Peer } from "@azureshunt/core";

/**
 * Picks some peers at random.
 *
 * @param random uniformly distributed in [0, 1)
 */
export function pickPeers(peers: readonly Peer[], count: number, random: () => number): readonly Peer[] {
    return peers
        .map(peer => ({ peer, rank: random() }))
        .sort((a, b) => a.rank - b.rank)
        .slice(0, count)
        .map(({ peer }) => peer);
}
