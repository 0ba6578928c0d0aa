import type { Peer, ServiceName } from "@azureshunt/core";

import type { PeerAttempt } from "./PeerAttempt.js";

/**
 * What was learned of peers: `failed` for a reason of its own, `opened` a connection after the attempts before it, `named`
 * by a peer of their failure domain, or `recommended` by a peer that could not help and for which they open connections.
 */
export type PeerEvent =
    | { readonly kind: "failed"; readonly service: ServiceName; readonly peer: Peer; }
    | {
        readonly kind: "opened";
        readonly service: ServiceName;
        readonly peer: Peer;
        readonly others: readonly PeerAttempt[];
    }
    | { readonly kind: "recommended"; readonly service: ServiceName; readonly peers: readonly Peer[]; }
    | { readonly kind: "named"; readonly peers: readonly Peer[]; };
