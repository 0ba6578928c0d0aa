import type { Millis, Peer } from "@azureshunt/core";

import type { PeerHistory } from "./PeerHistory.js";
import { peerTiming } from "./peerTiming.js";

/** Lists the peers that opened a connection for this VM lately. */
export function helpersOf({ helpers }: PeerHistory, now: Millis): readonly Peer[] {
    return [...helpers.values()]
        .filter(({ at, isOwn }) => isOwn && now - at < peerTiming.helperMs)
        .map(({ peer }) => peer);
}
