import type { Millis, Peer, ServiceName } from "@azureshunt/core";

import type { PeerHistory } from "./PeerHistory.js";
import { peerTiming } from "./peerTiming.js";
import { serviceHistoryOf } from "./serviceHistoryOf.js";

/**
 * Ranks a peer by whether it opened a connection lately: 0 if to an endpoint of the same service, 1 if to one of another
 * service only, else 2.
 */
export function helperRank(history: PeerHistory, service: ServiceName, { vm }: Peer, now: Millis): 0 | 1 | 2 {
    const isHelperFor = (each: ServiceName): boolean =>
        now - (serviceHistoryOf(history, each).helpers.get(vm)?.at ?? -Infinity) < peerTiming.helperMs;
    if (isHelperFor(service)) {
        return 0;
    }
    return [...history.services.keys()].some(isHelperFor) ? 1 : 2;
}
