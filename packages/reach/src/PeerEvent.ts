import type { Peer } from "@azureshunt/core";

import type { PeerAttempt } from "./PeerAttempt.js";

/**
 * What was learned of peers: `failed` for a reason of its own, `opened` a connection after the attempts before it, or
 * `named` by a peer.
 */
export type PeerEvent =
    | { readonly kind: "failed"; readonly peer: Peer; }
    | { readonly kind: "opened"; readonly peer: Peer; readonly others: readonly PeerAttempt[]; }
    | { readonly kind: "named"; readonly peers: readonly Peer[]; };
