import type { FailureDomain, Peer, ServiceName } from "@azureshunt/core";

import type { PeerAttempt } from "./PeerAttempt.js";
import type { PeerHistory } from "./PeerHistory.js";

/** What decides whom to ask for a connection to an endpoint. */
export type PeerQuery = {
    /** Live peers that this VM knows. */
    readonly peers: readonly Peer[];
    /** Failure domain of this VM. */
    readonly failureDomain: FailureDomain;
    readonly history: PeerHistory;
    /** Service of the endpoint. */
    readonly service: ServiceName;
    /** Peers that were asked for the same connection. */
    readonly attempts: readonly PeerAttempt[];
};
