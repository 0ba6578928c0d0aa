import type { NamedPeer } from "./NamedPeer.js";

/** Encodes VMs for a header: name and address of each, separated by spaces, and a comma between two. */
export function encodeNamedPeers(peers: readonly NamedPeer[]): string {
    return peers.map(({ vm, address }) => `${vm} ${address}`).join(", ");
}
