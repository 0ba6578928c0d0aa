import type { Peer } from "@azureshunt/core";

/** Encodes VMs for a header: name, address and failure domain of each, separated by spaces, and a comma between two. */
export function encodeNamedPeers(peers: readonly Peer[]): string {
    return peers.map(({ vm, address, failureDomain = "" }) => `${vm} ${address} ${failureDomain}`).join(", ");
}
