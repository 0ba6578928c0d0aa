import type { IncomingMessage } from "node:http";
import { setImmediate as nextTurn } from "node:timers/promises";

/**
 * Returns whether the caller has closed its connection, as far as the operating system knows.
 *
 * If a process runs late, a request may have waited in its socket for longer than its caller did. The caller's close
 * waits behind the request, so it would be noticed only after the request has been sent to an endpoint. A close is
 * processed in the second turn of the event loop after the request has been read.
 */
export async function hasLeft({ socket }: Pick<IncomingMessage, "socket">): Promise<boolean> {
    await nextTurn();
    await nextTurn();
    return socket.destroyed;
}
