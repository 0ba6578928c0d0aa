import { Client, Metadata, status } from "@grpc/grpc-js";
import type { ChannelCredentials } from "@grpc/grpc-js";
import type { Either } from "purify-ts";
import { Left, Right } from "purify-ts";

const KEEPALIVE_MS = 5_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;
const MAX_RECONNECT_MS = 2_000;
const MAX_MESSAGE_BYTES = 16_777_216;

/** If a call times out, its channel is closed if nothing was received on it for longer than this. */
const SILENT_MS = 1_000;

const identity = (bytes: Buffer): Buffer => bytes;

/** A channel to one daemon; `lastAnswerAt` is the time of the last answer, or of the creation until then. */
type Channel = { readonly client: Client; lastAnswerAt: number; };

/** Sends encoded envelopes to other daemons over one persistent channel per address. */
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
 * Manages the channels to other daemons.
 *
 * A channel can become silent permanently although new connections to the same daemon work. Symptom: calls that end
 * only by their timeout. To prevent this, if a call times out and nothing was received on the channel for `SILENT_MS`,
 * the channel is closed, and the next call opens a new one.
 *
 * If every timeout closed the channel, a busy daemon that answers late would make each further call pay for a new
 * connection, and be late again. To prevent this, a timeout closes nothing while other calls are answered.
 *
 * @param path path of the gRPC method
 * @param credentials credentials of the channels
 */
export function createPeerClients(path: string, credentials: ChannelCredentials): PeerClients {
    const channels = new Map<string, Channel>();

    const channelOf = (address: string): Channel => {
        const existing = channels.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const client = new Client(address, credentials, {
            "grpc.keepalive_time_ms": KEEPALIVE_MS,
            "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
            "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_MS,
            "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
            "grpc.enable_retries": 0,
            "grpc.use_local_subchannel_pool": 1,
        });
        const created: Channel = { client, lastAnswerAt: performance.now() };
        channels.set(address, created);
        return created;
    };

    /** Closes a channel, unless it has already been replaced. */
    const closeChannel = (address: string, channel: Channel): void => {
        if (channels.get(address) === channel) {
            channels.delete(address);
            channel.client.close();
        }
    };

    const mustClose = (channel: Channel, code: status | undefined): boolean =>
        code === status.UNAVAILABLE
        || (code === status.DEADLINE_EXCEEDED && performance.now() - channel.lastAnswerAt > SILENT_MS);

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
                    if (mustClose(channel, err?.code)) {
                        closeChannel(address, channel);
                    }
                    if (err === null) {
                        channel.lastAnswerAt = performance.now();
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

    const close = (): void => channels.forEach((channel, address) => closeChannel(address, channel));
    return { send, close };
}
