import type { Socket } from "node:net";

import type { Peer } from "@azureshunt/core";
import type { TunnelFailure } from "@azureshunt/reach";
import type { Either } from "purify-ts";

/** A peer's answer to a request for a tunnel. */
export type TunnelAnswer = {
    readonly tunnel: Either<TunnelFailure, Socket>;
    /** Further VMs of the peer's failure domain. */
    readonly named: readonly Peer[];
    /** VMs that open connections for the peer, which is cut off itself. */
    readonly helpers: readonly Peer[];
};
