import type { Socket } from "node:net";

/**
 * Returns whether a connection that has just ended was reset.
 *
 * If an endpoint crashes in mid-answer, its connection is reset together with the last bytes. libuv then reports a
 * normal end of the stream, and an answer without a length looks complete. To detect this: the operating system has no
 * remote address for a connection that was reset, but still has one for a connection that was closed. Node queries it
 * when the address is first read, so nothing may read the address before.
 */
export function wasReset(socket: Socket): boolean {
    return socket.remoteAddress === undefined;
}
