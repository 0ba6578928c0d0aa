import type { NamedPeer } from "./NamedPeer.js";

/**
 * Picks some peers at random.
 *
 * @param random uniformly distributed in [0, 1)
 */
export function pickPeers(peers: readonly NamedPeer[], count: number, random: () => number): readonly NamedPeer[] {
    return peers
        .map(peer => ({ peer, rank: random() }))
        .sort((a, b) => a.rank - b.rank)
        .slice(0, count)
        .map(({ peer }) => peer);
}
