import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import type { Millis } from "@azureshunt/core";

import type { CallerConnectionState } from "./CallerConnectionState.js";
import type { ConnectionCounts } from "./ConnectionCounts.js";
import type { SocketReading } from "./SocketReading.js";

type Connection = {
    /** Requests without a whole answer. */
    unanswered: number;
    /** Bytes read until the last answer was whole. */
    answeredBytes: number;
    /** Requests so far, and the last one. */
    requests: number;
    last: IncomingMessage | undefined;
    halfClosedAt: Millis | undefined;
};

type ConnectionVisitor = (socket: Duplex, state: CallerConnectionState, halfClosedMs: Millis) => void;

/** The connections that callers have open. */
type CallerConnections = {
    /** To be called for each connection that a caller opens. */
    readonly open: (socket: Duplex) => void;
    /** To be called for each request; returns `false` for one that came after this VM ended its side. */
    readonly begin: (req: IncomingMessage, res: ServerResponse) => boolean;
    /** Ends this VM's side of a connection. What arrives from then on is discarded. */
    readonly halfClose: (socket: Duplex) => void;
    /** Closes the connections of which this VM has ended its side longer ago than the time given. */
    readonly closeHalfClosed: (afterMs: Millis) => void;
    readonly forEach: (visit: ConnectionVisitor) => void;
    readonly size: () => number;
    /** What has been read of a connection, and whether this VM has ended its side. */
    readonly reading: (socket: Duplex) => SocketReading & { readonly isHalfClosed: boolean; };
    /** Number of a connection's requests without a whole answer. */
    readonly unansweredOn: (socket: Duplex) => number;
    /** Answers that are not whole yet. */
    readonly unanswered: () => ReadonlySet<ServerResponse>;
    readonly counts: () => ConnectionCounts;
};

const bytesReadOf = (socket: Duplex): number => "bytesRead" in socket ? Number(socket.bytesRead) : 0;

const stateOf = (
    socket: Duplex,
    { unanswered, answeredBytes, halfClosedAt }: Connection,
): CallerConnectionState => {
    if (halfClosedAt !== undefined) {
        return "half-closed";
    }
    if (unanswered > 0) {
        return "answering";
    }
    const bytes = bytesReadOf(socket);
    return bytes === 0 ? "silent" : bytes === answeredBytes ? "idle" : "reading";
};

/** Keeps account of the connections that callers have open, and of what they are in. */
export function createCallerConnections(): CallerConnections {
    const connections = new Map<Duplex, Connection>();
    const unanswered = new Set<ServerResponse>();
    const halfClosed = new Set<Duplex>();
    const forEach: CallerConnections["forEach"] = visit => {
        const now = performance.now();
        connections.forEach((connection, socket) =>
            visit(socket, stateOf(socket, connection), now - (connection.halfClosedAt ?? now))
        );
    };
    return {
        open: socket => {
            connections.set(socket, {
                unanswered: 0,
                answeredBytes: 0,
                requests: 0,
                last: undefined,
                halfClosedAt: undefined,
            });
            socket.once("close", () => connections.delete(socket));
        },
        begin: (req, res) => {
            const { socket } = req;
            const connection = connections.get(socket);
            if (connection?.halfClosedAt !== undefined) {
                return false;
            }
            unanswered.add(res);
            if (connection !== undefined) {
                connection.unanswered += 1;
                connection.requests += 1;
                connection.last = req;
            }
            res.once("close", () => {
                unanswered.delete(res);
                if (connection !== undefined) {
                    connection.unanswered -= 1;
                    connection.answeredBytes = bytesReadOf(socket);
                }
            });
            return true;
        },
        halfClose: socket => {
            const connection = connections.get(socket);
            if (connection === undefined || connection.halfClosedAt !== undefined) {
                return;
            }
            connection.halfClosedAt = performance.now();
            halfClosed.add(socket);
            socket.once("close", () => halfClosed.delete(socket));
            socket.end();
            // After a last answer, `destroySoon` of Node has registered `destroy` for the end of the write side.
            socket.removeListener("finish", socket.destroy);
        },
        closeHalfClosed: afterMs => {
            const before = performance.now() - afterMs;
            halfClosed.forEach(socket => {
                if ((connections.get(socket)?.halfClosedAt ?? -Infinity) < before) {
                    socket.destroy();
                }
            });
        },
        forEach,
        size: () => connections.size,
        reading: socket => {
            const connection = connections.get(socket);
            const state = connection === undefined ? undefined : stateOf(socket, connection);
            return {
                bytes: bytesReadOf(socket),
                isIdle: state === "idle",
                isIncomplete: state === "reading" || connection?.last?.complete === false,
                requests: connection?.requests ?? 0,
                isHalfClosed: state === "half-closed",
            };
        },
        unansweredOn: socket => connections.get(socket)?.unanswered ?? 0,
        unanswered: () => unanswered,
        counts: () => {
            const counts: Partial<Record<CallerConnectionState, number>> = {};
            forEach((_socket, state) => {
                counts[state] = (counts[state] ?? 0) + 1;
            });
            return counts;
        },
    };
}
