import type { Socket } from "node:net";

import type { TunnelFailure } from "@azureshunt/reach";
import type { Either } from "purify-ts";

import type { NamedPeer } from "./NamedPeer.js";

/** A peer's answer to a request for a tunnel, and the VMs of its failure domain that it names. */
export type TunnelAnswer = { readonly tunnel: Either<TunnelFailure, Socket>; readonly named: readonly NamedPeer[]; };
