import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";

/** Headers are read up to this size; the configuration's own limit may be lower. */
const HEADER_BYTES = 64 * 1024;
/** How often Node looks for connections that took too long with their headers. */
const CHECK_MS = 500;

/**
 * Starts an HTTP listener.
 *
 * @param address `host:port`
 * @throws Error when the address cannot be bound
 */
export async function startListener(
    address: string,
    handler: (req: IncomingMessage, res: ServerResponse) => void,
): Promise<Server> {
    const server = createServer({
        maxHeaderSize: HEADER_BYTES,
        connectionsCheckingInterval: CHECK_MS,
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
