import { Client, Metadata, status } from "@grpc/grpc-js";
import type { ChannelCredentials } from "@grpc/grpc-js";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

const KEEPALIVE_MS = 5_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;
const MAX_RECONNECT_MS = 2_000;
const MAX_MESSAGE_BYTES = 16_777_216;

const identity = (bytes: Buffer): Buffer => bytes;

/** Sends encoded envelopes to the daemons at given addresses, over one kept-open channel for each. */
type PeerClients = {
    readonly send: (
        address: string,
        bytes: Buffer,
        signature: string,
        timeoutMs: number,
    ) => Promise<Either<Error, Buffer>>;
    readonly close: () => void;
};

/**
 * Keeps the channels to other daemons.
 *
 * Failure: a channel goes silent for good while new connections to the same daemon work; it shows as calls that only
 * end by their timeout. Guard: after a timeout the channel is closed and the next call opens a new one.
 *
 * @param path the gRPC method
 * @param credentials of the channels
 */
export function createPeerClients(path: string, credentials: ChannelCredentials): PeerClients {
    const clients = new Map<string, Client>();

    const clientOf = (address: string): Client => {
        const known = clients.get(address);
        if (known !== undefined) {
            return known;
        }
        const made = new Client(address, credentials, {
            "grpc.keepalive_time_ms": KEEPALIVE_MS,
            "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
            "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_MS,
            "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
            "grpc.enable_retries": 0,
            "grpc.use_local_subchannel_pool": 1,
        });
        clients.set(address, made);
        return made;
    };

    const drop = (address: string): void => {
        clients.get(address)?.close();
        clients.delete(address);
    };

    const send: PeerClients["send"] = (address, bytes, signature, timeoutMs) =>
        new Promise(resolve => {
            const metadata = new Metadata();
            metadata.set("x-signature", signature);
            const deadline = new Date(Date.now() + timeoutMs);
            clientOf(address).makeUnaryRequest(
                path,
                identity,
                identity,
                bytes,
                metadata,
                { deadline },
                (err, answer) => {
                    if (err?.code === status.DEADLINE_EXCEEDED || err?.code === status.UNAVAILABLE) {
                        drop(address);
                    }
                    if (err !== null || answer === undefined) {
                        resolve(Left(err ?? new Error("no answer")));
                    }
                    else {
                        resolve(Right(answer));
                    }
                },
            );
        });

    const close = (): void => [...clients.keys()].forEach(drop);
    return { send, close };
}
