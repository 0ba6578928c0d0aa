import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";

/** Upper bound on the size of headers; the limit in the configuration may be lower. */
const MAX_HEADER_BYTES = 64 * 1024;
/** How often Node checks for connections that took too long to send their headers. */
const TIMEOUT_CHECK_MS = 500;

/**
 * Starts an HTTP listener.
 *
 * @param address `host:port`
 * @throws Error if the address cannot be bound
 */
export async function startListener(
    address: string,
    handler: (req: IncomingMessage, res: ServerResponse) => void,
): Promise<Server> {
    const server = createServer({
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
        noDelay: true,
        insecureHTTPParser: false,
    }, handler);
    const [host, port] = address.split(":");
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen({ host, port: Number(port), backlog: 1_024 }, resolve);
    });
    return server;
}
