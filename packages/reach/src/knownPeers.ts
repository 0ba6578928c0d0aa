import type { Millis, Peer } from "@azureshunt/core";

import type { PeerQuery } from "./PeerQuery.js";
import { peerTiming } from "./peerTiming.js";

/** Lists the live peers that this VM knows, and those of which other peers have told it lately. */
export function knownPeers({ peers, history }: PeerQuery, now: Millis): readonly Peer[] {
    const named = [...history.named.values()].filter(({ at }) => now - at < peerTiming.namedMs);
    const helpers = [...history.services.values()]
        .flatMap(service => [...service.helpers.values()])
        .filter(({ at }) => now - at < peerTiming.helperMs);
    const isLive = new Set(peers.map(({ vm }) => vm));
    const others = new Map([...named, ...helpers].map(({ peer }) => [peer.vm, peer]));
    return [...peers, ...[...others.values()].filter(({ vm }) => !isLive.has(vm))];
}
