import { Client, Metadata, status } from "@grpc/grpc-js";
import type { ChannelCredentials } from "@grpc/grpc-js";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

const KEEPALIVE_MS = 5_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;
const MAX_RECONNECT_MS = 2_000;
const MAX_MESSAGE_BYTES = 16_777_216;

/** A channel on which calls are answered by nothing but their timeouts for this long is given up. */
const SILENT_MS = 1_000;

const identity = (bytes: Buffer): Buffer => bytes;

/** A channel to one daemon, and when it was last known to bring answers. */
type Channel = { readonly client: Client; heardAt: number; };

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
 * end by their timeout. Guard: where nothing has come for a while when a call times out, the channel is closed and the next
 * call opens a new one.
 *
 * Failure: a daemon that is busy answers late, its channel is closed for it, and each call from then on pays for a new
 * connection that is late again. Guard: one late answer closes nothing, as answers to others have come.
 *
 * @param path the gRPC method
 * @param credentials of the channels
 */
export function createPeerClients(path: string, credentials: ChannelCredentials): PeerClients {
    const channels = new Map<string, Channel>();

    const channelOf = (address: string): Channel => {
        const known = channels.get(address);
        if (known !== undefined) {
            return known;
        }
        const client = new Client(address, credentials, {
            "grpc.keepalive_time_ms": KEEPALIVE_MS,
            "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
            "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_MS,
            "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
            "grpc.enable_retries": 0,
            "grpc.use_local_subchannel_pool": 1,
        });
        const made: Channel = { client, heardAt: performance.now() };
        channels.set(address, made);
        return made;
    };

    /** Closes a channel, unless a new one has taken its place. */
    const drop = (address: string, channel: Channel): void => {
        if (channels.get(address) === channel) {
            channels.delete(address);
            channel.client.close();
        }
    };

    const isUseless = (channel: Channel, code: status | undefined): boolean =>
        code === status.UNAVAILABLE
        || (code === status.DEADLINE_EXCEEDED && performance.now() - channel.heardAt > SILENT_MS);

    const send: PeerClients["send"] = (address, bytes, signature, timeoutMs) =>
        new Promise(resolve => {
            const metadata = new Metadata();
            metadata.set("x-signature", signature);
            const deadline = new Date(Date.now() + timeoutMs);
            const channel = channelOf(address);
            channel.client.makeUnaryRequest(
                path,
                identity,
                identity,
                bytes,
                metadata,
                { deadline },
                (err, answer) => {
                    if (isUseless(channel, err?.code)) {
                        drop(address, channel);
                    }
                    if (err === null) {
                        channel.heardAt = performance.now();
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

    const close = (): void => channels.forEach((channel, address) => drop(address, channel));
    return { send, close };
}
