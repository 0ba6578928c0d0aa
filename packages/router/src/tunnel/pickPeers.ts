import type { Peer } from "@azureshunt/core";

/**
 * Picks some peers: neighbours in the list, from a random one on.
 *
 * @param random uniformly distributed in [0, 1)
 */
export function pickPeers(peers: readonly Peer[], count: number, random: () => number): readonly Peer[] {
    const first = Math.floor(random() * peers.length);
    return [...peers.slice(first), ...peers.slice(0, first)].slice(0, count);
}
