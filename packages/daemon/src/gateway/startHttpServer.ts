import { readFileSync } from "node:fs";
import { createServer as createHttpServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer as createHttpsServer } from "node:https";
import type { Duplex } from "node:stream";

import { judgeTimeouts } from "@azureshunt/http";
import type { createRequestGate } from "@azureshunt/http";

import type { Claim } from "../ports/Claim.js";
import type { Settings } from "../Settings.js";

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const MAX_IDLE_MS = 65_000;
/** How often Node checks for connections that took too long to send a request. */
const TIMEOUT_CHECK_MS = 500;

const STATUS_LINES: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/** Answers one HTTP request; must not reject. */
type HttpHandler = (req: IncomingMessage, res: ServerResponse) => void;

/** Inputs of `startHttpServer`. */
type HttpServerParts = {
    /** `host:port`. */
    readonly address: string;
    /** Binds the address once it is free. */
    readonly claim: Claim;
    readonly tls: Settings["tls"]["caller"];
    readonly limits: Settings["limits"];
    readonly handler: HttpHandler;
    /** Reads its connections. */
    readonly gate: ReturnType<typeof createRequestGate>;
};

const withTls = (tls: NonNullable<Settings["tls"]["caller"]>, options: object, handler: HttpHandler): Server =>
    createHttpsServer({
        ...options,
        cert: readFileSync(tls.certificateFile),
        key: readFileSync(tls.privateKeyFile),
        ca: tls.authorityFile === undefined ? undefined : readFileSync(tls.authorityFile),
        requestCert: tls.authorityFile !== undefined,
        rejectUnauthorized: tls.authorityFile !== undefined,
    }, handler);

/**
 * Answers connections with invalid or late requests, which Node leaves to listeners that judge timeouts themselves. Within
 * an answer that has begun, the connection is only closed.
 */
const refuseFaulty = (server: Server): (err: NodeJS.ErrnoException, socket: Duplex) => void => {
    const answers = new WeakMap<Duplex, ServerResponse>();
    server.on("request", (req: IncomingMessage, res: ServerResponse) => answers.set(req.socket, res));
    return (err, socket) => {
        const answer = answers.get(socket);
        const isAnswering = answer?.headersSent === true && !answer.writableFinished;
        if (err.code === "ECONNRESET" || !socket.writable || isAnswering) {
            socket.destroy();
            return;
        }
        const status = STATUS_LINES[err.code ?? ""] ?? "400 Bad Request";
        socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`, () => socket.destroy());
    };
};

/**
 * Starts an HTTP listener with limits on header size, connections and time, with TLS if certificates are configured.
 *
 * @throws Error if the address cannot be bound or a certificate cannot be read
 */
export async function startHttpServer(parts: HttpServerParts): Promise<Server> {
    const { address, claim, tls, limits, handler, gate } = parts;
    const options = {
        maxHeaderSize: limits.headerBytes,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
        insecureHTTPParser: false,
    };
    const server = tls === undefined ? createHttpServer(options, handler) : withTls(tls, options, handler);
    server.maxConnections = limits.connections;
    server.headersTimeout = HEADERS_TIMEOUT_MS;
    server.requestTimeout = REQUEST_TIMEOUT_MS;
    server.keepAliveTimeout = MAX_IDLE_MS;
    gate.attach(server);
    judgeTimeouts(server, { reading: gate.reading, refuse: refuseFaulty(server) });
    const colon = address.lastIndexOf(":");
    const bind = (): Promise<void> =>
        new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(Number(address.slice(colon + 1)), address.slice(0, colon), () => {
                server.off("error", reject);
                resolve();
            });
        });
    await claim(address, bind);
    return server;
}
