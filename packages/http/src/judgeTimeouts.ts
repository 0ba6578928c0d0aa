import type { Server } from "node:http";
import type { Duplex } from "node:stream";

import { afterPendingReads, startTimeout } from "@azureshunt/lifecycle";

import type { SocketReading } from "./SocketReading.js";

type TimeoutParts = {
    readonly reading: (socket: Duplex) => SocketReading;
    /** Answers a connection with bytes that are not a valid request, or whose request is not complete in time. */
    readonly refuse: (err: NodeJS.ErrnoException, socket: Duplex) => void;
    /** Called as a connection's idle time is up; `isIdle` unless a request has arrived by then. */
    readonly onIdleTimeout?: ((isIdle: boolean) => void) | undefined;
};

const TIMED_OUT = "ERR_HTTP_REQUEST_TIMEOUT";

/**
 * Lets a listener's idle and request timeouts end a connection only if nothing has arrived on it by then. Node's own end
 * it at once: after a time in which the process did not run, with a request or a body on it that lies unread.
 */
export function judgeTimeouts(server: Server, { reading, refuse, onIdleTimeout }: TimeoutParts): void {
    /**
     * A request that is not complete in time is refused, unless more of it has arrived by then. Node does not watch it any
     * more, so it gets one more period, whatever arrives in that.
     */
    const judgeSlowRequest = (err: NodeJS.ErrnoException, socket: Duplex): void => {
        const { bytes, requests } = reading(socket);
        const refuseIf = (isDue: (now: SocketReading) => boolean): void => {
            const now = reading(socket);
            if (now.requests === requests && isDue(now)) {
                refuse(err, socket);
            }
        };
        afterPendingReads(() => {
            refuseIf(now => now.bytes === bytes);
            const { bytes: bytesNow, isIncomplete } = reading(socket);
            if (bytesNow !== bytes && isIncomplete && !socket.destroyed) {
                startTimeout(server.headersTimeout, () => refuseIf(now => now.isIncomplete));
            }
        });
    };
    server.on(
        "clientError",
        (err: NodeJS.ErrnoException, socket: Duplex) =>
            (err.code === TIMED_OUT ? judgeSlowRequest : refuse)(err, socket),
    );
    server.on("timeout", socket =>
        afterPendingReads(() => {
            const { isIdle } = reading(socket);
            onIdleTimeout?.(isIdle);
            if (isIdle) {
                socket.destroy();
            }
        }));
}
