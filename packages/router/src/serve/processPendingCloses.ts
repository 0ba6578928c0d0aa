import { setImmediate as nextTurn } from "node:timers/promises";

/**
 * Waits until closes of connections that are already known to the operating system have been processed, which takes
 * three turns of the event loop after the last data of a connection has been read.
 *
 * If a process runs late, a request may have waited in its socket, or behind others, for longer than its caller did. The
 * caller's close would be noticed only after the request has been sent to an endpoint, and it would run for nobody.
 */
export async function processPendingCloses(): Promise<void> {
    await nextTurn();
    await nextTurn();
    await nextTurn();
}
