import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";

import { cutAnswer } from "@azureshunt/http";

import { maxHeaderFields } from "./maxHeaderFields.js";

/** Upper bound on the size of headers; the limit in the configuration may be lower. */
const MAX_HEADER_BYTES = 64 * 1024;
/** How often Node checks for connections that took too long to send their headers. */
const TIMEOUT_CHECK_MS = 500;

const DEFAULT_BACKLOG = 1_024;

const INTERNAL_ERROR = 500;

/** Where an error of a listener belongs: to a connection that could not be accepted, or to one request. */
type ListenerFault = "accept" | "request" | "answer";

/**
 * Starts an HTTP listener. An error of one request ends that request: with 500 if nothing of its answer was sent, otherwise
 * with its connection. An error while a connection is accepted, as when descriptors are used up, ends nothing: the caller
 * sees it, and the next connection may be accepted.
 *
 * @param address `host:port`
 * @param onFault called with each of these errors, which reach nobody else
 * @param backlog connections that may wait to be accepted
 * @throws Error if the address cannot be bound
 */
export async function startListener(
    address: string,
    handler: (req: IncomingMessage, res: ServerResponse) => Promise<void> | void,
    onFault: (what: ListenerFault, err: unknown) => void = () => undefined,
    backlog: number = DEFAULT_BACKLOG,
): Promise<Server> {
    const fail = (res: ServerResponse, err: unknown): void => {
        onFault("request", err);
        if (res.headersSent) {
            cutAnswer(res);
            return;
        }
        res.writeHead(INTERNAL_ERROR, ["Content-Length", "0", "Connection", "close"]);
        res.end();
    };
    const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        // Without a listener, a write after the end of an answer would end the process.
        res.on("error", err => {
            onFault("answer", err);
            if (!res.writableEnded) {
                cutAnswer(res);
            }
        });
        try {
            await handler(req, res);
        }
        catch (err) {
            fail(res, err);
        }
    };
    const server = createServer({
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
        noDelay: true,
        insecureHTTPParser: false,
    }, (req, res) => void handle(req, res));
    server.maxHeadersCount = maxHeaderFields;
    const [host, port] = address.split(":");
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port: Number(port), backlog }, () => {
            server.removeListener("error", reject);
            resolve();
        });
    });
    server.on("error", err => onFault("accept", err));
    return server;
}
