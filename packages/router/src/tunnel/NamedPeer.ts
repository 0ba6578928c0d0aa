import type { Peer } from "@azureshunt/core";

/** A VM of the same failure domain as the one that names it. */
export type NamedPeer = Pick<Peer, "vm" | "address">;
