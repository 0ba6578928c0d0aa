import type { Peer } from "@azureshunt/core";

import type { TunnelFailure } from "./TunnelFailure.js";

/** A peer that was asked for a connection: `late` if it has not answered within its head start. */
export type PeerAttempt = { readonly peer: Peer; readonly outcome: "pending" | "late" | TunnelFailure; };
