import { connect } from "node:net";

import type { Millis } from "@azureshunt/core";

/** A process that lives takes a connection within a round trip; where nothing answers at all, nothing is known. */
const ASK_MS: Millis = 300;

/**
 * Finds out whether nothing listens at an address, after a connection to it broke.
 *
 * Failure: something on the way cuts connections, and requests that merely lost theirs count as the cause of a crash.
 * Guard: only where a connection is refused has the process ended.
 *
 * @param address `host:port`
 */
export function hasDied(address: string): Promise<boolean> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const socket = connect({ host, port: Number(port) });
        const settle = (isDead: boolean): void => {
            socket.destroy();
            resolve(isDead);
        };
        socket.setTimeout(ASK_MS, () => settle(false));
        socket.once("connect", () => settle(false));
        socket.once("error", (err: NodeJS.ErrnoException) => settle(err.code === "ECONNREFUSED"));
    });
}
