import { fileURLToPath } from "node:url";

import { loadSync } from "@grpc/proto-loader";
import type { MethodDefinition, ServiceDefinition } from "@grpc/proto-loader";

const PROTO_FILE = fileURLToPath(new URL("../../proto/peers.proto", import.meta.url));
const SERVICE = "azureshunt.peers.v1.Peers";

/** A decoded message between daemons. `body` is the name of the field of the `oneof` that is set. */
type Envelope = {
    readonly fromVm: string;
    readonly fromIncarnation: string;
    readonly body?: string;
    readonly [field: string]: unknown;
};

/** The codec of envelopes and the path of the only gRPC method. */
type PeerSchema = {
    readonly path: string;
    readonly encode: (envelope: Envelope) => Buffer;
    readonly decode: (bytes: Buffer) => Envelope;
};

/** Loads `peers.proto`. Called once at start. */
export function loadPeerSchema(): PeerSchema {
    const definition = loadSync(PROTO_FILE, { longs: Number, defaults: true, oneofs: true, enums: String });
    const service = definition[SERVICE] as ServiceDefinition;
    const method = service["Exchange"] as MethodDefinition<object, object>;
    return {
        path: method.path,
        encode: envelope => method.requestSerialize(envelope),
        decode: bytes => method.requestDeserialize(bytes) as Envelope,
    };
}
