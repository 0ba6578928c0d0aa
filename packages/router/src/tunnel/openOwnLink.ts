import { connect } from "node:net";
import type { Socket } from "node:net";

import type { Millis } from "@azureshunt/core";

import type { OpenConnection } from "../dispatch/OpenConnection.js";

/** Idle time after which the operating system probes a connection, as Node's own agent has it. */
const KEEP_ALIVE_DELAY_MS: Millis = 1_000;

/**
 * Opens a connection to the endpoint at an address, `host:port`, over the own link.
 *
 * @param signal gives the connection up; has no effect once it is open
 */
export function openOwnLink(address: string, signal: AbortSignal, open: OpenConnection = connect): Promise<Socket> {
    const [host, port] = address.split(":");
    const keepAlive = { keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_DELAY_MS };
    const socket = open({ host, port: Number(port), noDelay: true, ...keepAlive });
    return new Promise((resolve, reject) => {
        const onAbort = (): void => void socket.destroy(new Error("aborted"));
        const settle = (settled: () => void): void => {
            signal.removeEventListener("abort", onAbort);
            socket.removeListener("error", onError);
            settled();
        };
        const onError = (err: Error): void => settle(() => reject(err));
        signal.addEventListener("abort", onAbort, { once: true });
        socket.once("error", onError);
        socket.once("connect", () => settle(() => resolve(socket)));
    });
}
