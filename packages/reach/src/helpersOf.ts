import type { Millis, Peer, ServiceName } from "@azureshunt/core";

import type { PeerHistory } from "./PeerHistory.js";
import { peerTiming } from "./peerTiming.js";
import { serviceHistoryOf } from "./serviceHistoryOf.js";

/** Lists the peers that opened a connection to an endpoint of a service for this VM lately. */
export function helpersOf(history: PeerHistory, service: ServiceName, now: Millis): readonly Peer[] {
    return [...serviceHistoryOf(history, service).helpers.values()]
        .filter(({ at, isOwn }) => isOwn && now - at < peerTiming.helperMs)
        .map(({ peer }) => peer);
}
