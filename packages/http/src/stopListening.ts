import type { Server } from "node:http";
import { Server as NetServer } from "node:net";

/**
 * Closes the port of a listener and leaves its connections alone. `close` of an HTTP server also destroys connections
 * without a running request, and it takes an answer for complete whose last bytes are still to be sent.
 */
export function stopListening(server: Server): void {
    NetServer.prototype.close.call(server);
}
