import { timingSafeEqual } from "node:crypto";

import type { VmId } from "@azureshunt/core";
import { Server, status } from "@grpc/grpc-js";
import type { handleUnaryCall, Metadata, ServerCredentials } from "@grpc/grpc-js";

import type { Claim } from "../ports/Claim.js";
import type { loadPeerSchema } from "./loadPeerSchema.js";
import { signEnvelope } from "./signEnvelope.js";

const MAX_MESSAGE_BYTES = 16_777_216;
const KEEPALIVE_MS = 5_000;

/** Answers a message; `kind` is the field of the `oneof`. Resolves to `undefined` if it has no handler. */
type AnswerMessage = (kind: string, body: object, from: VmId) => Promise<object | undefined>;

/** Parameters of `startPeerServer`. */
type PeerServerParts = {
    readonly schema: ReturnType<typeof loadPeerSchema>;
    readonly address: string;
    readonly vm: VmId;
    readonly incarnation: string;
    readonly secret: string;
    readonly credentials: ServerCredentials;
    /** Binds the address once it is free. */
    readonly claim: Claim;
    readonly answer: AnswerMessage;
};

const TAKEN = "EADDRINUSE";

const signatureOf = (metadata: Metadata): Buffer => Buffer.from(String(metadata.get("x-signature")[0] ?? ""), "hex");

/** Adds the code of a taken address, which the error of gRPC has only in its message. */
const bindErrorOf = (err: Error): Error => err.message.includes(TAKEN) ? Object.assign(err, { code: TAKEN }) : err;

/**
 * Starts the gRPC server for messages of other daemons. A message without a valid signature is refused.
 *
 * @returns a function that stops the server
 * @throws Error if the address cannot be bound
 */
export async function startPeerServer(parts: PeerServerParts): Promise<() => void> {
    const { schema, vm, incarnation, secret } = parts;
    const isSigned = (bytes: Buffer, metadata: Metadata): boolean => {
        const expected = Buffer.from(signEnvelope(secret, vm, bytes), "hex");
        const actual = signatureOf(metadata);
        return actual.length === expected.length && timingSafeEqual(actual, expected);
    };

    const exchange: handleUnaryCall<Buffer, Buffer> = (call, done) => {
        if (!isSigned(call.request, call.metadata)) {
            done({ code: status.UNAUTHENTICATED, details: "bad signature" });
            return;
        }
        const envelope = schema.decode(call.request);
        const kind = envelope.body ?? "";
        const body = envelope[kind] as object | undefined ?? {};
        parts.answer(kind, body, envelope.fromVm as VmId)
            .then(answer =>
                answer === undefined
                    ? undefined
                    : schema.encode({ fromVm: vm, fromIncarnation: incarnation, [`${kind}Answer`]: answer })
            )
            .then(
                bytes =>
                    bytes === undefined
                        ? done({ code: status.UNIMPLEMENTED, details: `no handler of ${kind}` })
                        : done(null, bytes),
                (err: unknown) => done({ code: status.INTERNAL, details: String(err) }),
            );
    };

    const bind = async (): Promise<Server> => {
        const server = new Server({
            "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
            "grpc.keepalive_time_ms": KEEPALIVE_MS,
            "grpc.so_reuseport": 0,
        });
        server.addService(
            {
                exchange: {
                    path: schema.path,
                    requestStream: false,
                    responseStream: false,
                    requestSerialize: (bytes: Buffer) => bytes,
                    requestDeserialize: (bytes: Buffer) => bytes,
                    responseSerialize: (bytes: Buffer) => bytes,
                    responseDeserialize: (bytes: Buffer) => bytes,
                },
            },
            { exchange },
        );
        // A server whose address was taken once does not bind it any more.
        await new Promise<void>((resolve, reject) =>
            server.bindAsync(parts.address, parts.credentials, err => {
                if (err === null) {
                    resolve();
                    return;
                }
                server.forceShutdown();
                reject(bindErrorOf(err));
            })
        );
        return server;
    };
    const server = await parts.claim(parts.address, bind);
    return () => server.forceShutdown();
}
