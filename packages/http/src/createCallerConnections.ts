import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import type { Millis } from "@azureshunt/core";

import type { CallerConnectionState } from "./CallerConnectionState.js";
import type { ConnectionCounts } from "./ConnectionCounts.js";
import type { SocketReading } from "./SocketReading.js";

type Connection = {
    halfClosedAt: Millis | undefined;
    /** When its last answer was whole. */
    answeredAt: Millis;
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
    /** Closes a part of the connections that are between two requests, those first that have been for longest. */
    readonly closeIdle: (fraction: number) => void;
    readonly forEach: (visit: ConnectionVisitor) => void;
    readonly size: () => number;
    /** What has been read of a connection, and whether this VM has ended its side. */
    readonly reading: (socket: Duplex) => SocketReading & { readonly isHalfClosed: boolean; };
    /** Answers that are not whole yet. */
    readonly unanswered: () => ReadonlySet<ServerResponse>;
    readonly counts: () => ConnectionCounts;
};

const stateOf = (
    { unanswered, bytes, isIdle }: SocketReading,
    { halfClosedAt }: Connection,
    isUnread: boolean,
): CallerConnectionState => {
    if (halfClosedAt !== undefined) {
        return "half-closed";
    }
    if (unanswered > 0) {
        return "answering";
    }
    if (isUnread) {
        return "unread";
    }
    return bytes === 0 ? "silent" : isIdle ? "idle" : "reading";
};

/**
 * Keeps account of the connections that callers have open, and of what they are in.
 *
 * @param readingOf tells what has been read of a connection
 * @param isUnread whether a connection waits to be read
 */
export function createCallerConnections(
    readingOf: (socket: Duplex) => SocketReading,
    isUnread: (socket: Duplex) => boolean = () => false,
): CallerConnections {
    const connections = new Map<Duplex, Connection>();
    const unanswered = new Set<ServerResponse>();
    const halfClosed = new Set<Duplex>();
    const forEach: CallerConnections["forEach"] = visit => {
        const now = performance.now();
        connections.forEach((connection, socket) =>
            visit(
                socket,
                stateOf(readingOf(socket), connection, isUnread(socket)),
                now - (connection.halfClosedAt ?? now),
            )
        );
    };
    return {
        open: socket => {
            connections.set(socket, { halfClosedAt: undefined, answeredAt: 0 });
            socket.once("close", () => connections.delete(socket));
        },
        begin: (req, res) => {
            const connection = connections.get(req.socket);
            if (connection?.halfClosedAt !== undefined) {
                return false;
            }
            unanswered.add(res);
            res.once("close", () => {
                unanswered.delete(res);
                if (connection !== undefined) {
                    connection.answeredAt = performance.now();
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
        closeIdle: fraction => {
            const idle = [...connections]
                .filter(([socket, connection]) => {
                    const reading = readingOf(socket);
                    return !reading.isIncomplete && stateOf(reading, connection, isUnread(socket)) === "idle";
                })
                .sort(([, a], [, b]) => a.answeredAt - b.answeredAt);
            idle.slice(0, Math.ceil(fraction * idle.length)).forEach(([socket]) => socket.destroy());
        },
        forEach,
        size: () => connections.size,
        reading: socket => {
            const reading = readingOf(socket);
            const isHalfClosed = connections.get(socket)?.halfClosedAt !== undefined;
            return { ...reading, isIdle: reading.isIdle && !isHalfClosed, isHalfClosed };
        },
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
