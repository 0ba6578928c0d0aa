import type { FailureDomain, VmId } from "@azureshunt/core";
import type { Either } from "purify-ts";

/** One daemon as its peers reach it. */
type Peer = { readonly vm: VmId; readonly failureDomain: FailureDomain; readonly address: string; };

/**
 * Exchanges messages with other daemons. `Kind` is a field of the `oneof` in `peers.proto`; bodies are plain objects of
 * that field's type.
 */
export type PeerPort = {
    readonly peers: () => readonly Peer[];
    /** Left holds the reason when no answer came within the bound; the peer may have acted all the same. */
    readonly exchange: (to: VmId, kind: string, body: object, timeoutMs: number) => Promise<Either<Error, object>>;
    /** Registers what answers a kind of message; returns the function that unregisters it. */
    readonly handle: (kind: string, answer: (body: object, from: VmId) => Promise<object>) => () => void;
};
