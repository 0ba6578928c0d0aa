import type { FailureDomain, VmId } from "@azureshunt/core";
import type { Either } from "purify-ts";

/** Another daemon and its address. */
type Peer = { readonly vm: VmId; readonly failureDomain: FailureDomain; readonly address: string; };

/**
 * Exchanges messages with other daemons. `Kind` is a field of the `oneof` in `peers.proto`; bodies are plain objects of
 * that field's type.
 */
export type PeerPort = {
    readonly peers: () => readonly Peer[];
    /** Sends a message and returns the answer; Left with the reason if none came in time. The peer may have acted anyway. */
    readonly exchange: (to: VmId, kind: string, body: object, timeoutMs: number) => Promise<Either<Error, object>>;
    /** Registers the handler of a kind of message; returns a function that unregisters it. */
    readonly handle: (kind: string, answer: (body: object, from: VmId) => Promise<object>) => () => void;
};
