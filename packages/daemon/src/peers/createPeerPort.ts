import { readFileSync } from "node:fs";

import type { Incarnation, VmId } from "@azureshunt/core";
import { credentials, ServerCredentials, setLogger } from "@grpc/grpc-js";
import type { Logger } from "pino";
import { Either, Left } from "purify-ts";

import type { Claim } from "../ports/Claim.js";
import type { PeerPort } from "../ports/PeerPort.js";
import type { Settings } from "../Settings.js";
import { createPeerClients } from "./createPeerClients.js";
import { loadPeerSchema } from "./loadPeerSchema.js";
import { signEnvelope } from "./signEnvelope.js";
import { startPeerServer } from "./startPeerServer.js";

type Handler = (body: object, from: VmId) => Promise<object>;

const credentialsOf = (settings: Settings) => {
    const { peer } = settings.tls;
    if (peer === undefined) {
        return { client: credentials.createInsecure(), server: ServerCredentials.createInsecure() };
    }
    const certificate = readFileSync(peer.certificateFile);
    const privateKey = readFileSync(peer.privateKeyFile);
    const authority = peer.authorityFile === undefined ? null : readFileSync(peer.authorityFile);
    return {
        client: credentials.createSsl(authority, privateKey, certificate),
        server: ServerCredentials.createSsl(
            authority,
            [{ cert_chain: certificate, private_key: privateKey }],
            authority !== null,
        ),
    };
};

/** Dependencies of `createPeerPort`. */
type PeerParts = {
    readonly settings: Settings;
    readonly incarnation: Incarnation;
    /** Binds the peer address once it is free. */
    readonly claim: Claim;
    readonly logger: Pick<Logger, "debug">;
    /** Returns the other daemons that are currently known. */
    readonly peers: PeerPort["peers"];
};

/**
 * Starts the server and the clients for messages between daemons.
 *
 * @throws Error if the peer address cannot be bound or a certificate cannot be read
 */
export async function createPeerPort(parts: PeerParts): Promise<PeerPort & { readonly stop: () => void; }> {
    const { settings, incarnation, claim, logger, peers } = parts;
    const logLine = (...line: readonly unknown[]): void => logger.debug({ line: line.join(" ") }, "Line of gRPC.");
    setLogger({ error: logLine, info: logLine, debug: logLine });
    const schema = loadPeerSchema();
    const { client, server } = credentialsOf(settings);
    const { secret } = settings.peers;
    const clients = createPeerClients(schema.path, client);
    const handlers = new Map<string, Handler>();

    const stopServer = await startPeerServer({
        schema,
        address: settings.listen.peer,
        vm: settings.vm,
        incarnation,
        secret,
        credentials: server,
        claim,
        answer: async (kind, body, from) => await handlers.get(kind)?.(body, from),
    });

    const exchange: PeerPort["exchange"] = async (to, kind, body, timeoutMs) => {
        const peer = peers().find(candidate => candidate.vm === to);
        if (peer === undefined) {
            return Left(new Error(`${to} is no known VM`));
        }
        const bytes = schema.encode({ fromVm: settings.vm, fromIncarnation: incarnation, [kind]: body });
        const answer = await clients.send(peer.address, bytes, signEnvelope(secret, to, bytes), timeoutMs);
        return answer.chain(reply =>
            Either.encase(() => schema.decode(reply)[`${kind}Answer`] as object | undefined ?? {})
        );
    };

    const handle: PeerPort["handle"] = (kind, answer) => {
        handlers.set(kind, answer);
        return () => {
            handlers.delete(kind);
        };
    };

    const stop = (): void => {
        stopServer();
        clients.close();
    };
    return { peers, exchange, handle, stop };
}
