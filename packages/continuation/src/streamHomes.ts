import type { FailureDomain, Peer } from "@azureshunt/core";
import { rendezvousOrder } from "@azureshunt/core";

import type { StreamId } from "./StreamId.js";

/** Up to this number of peers, all are homes of every stream. */
const FEW_PEERS = 8;

/**
 * Selects the peers that keep the origin of a stream, besides the VM that began it.
 *
 * Callers come back to the same failure domain unless all its VMs are down. In large fleets a few VMs of it, chosen by
 * the stream's id, keep the origin, so that any VM finds it there.
 *
 * @param count number of homes in a large fleet
 */
export function streamHomes(
    id: StreamId,
    peers: readonly Peer[],
    failureDomain: FailureDomain,
    count: number,
): readonly Peer[] {
    if (peers.length <= FEW_PEERS) {
        return peers;
    }
    const near = new Map(peers.filter(peer => peer.failureDomain === failureDomain).map(peer => [peer.vm, peer]));
    return rendezvousOrder(id, [...near.keys()]).slice(0, count).flatMap(vm => near.get(vm) ?? []);
}
