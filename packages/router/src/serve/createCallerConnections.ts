import type { IncomingMessage, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import type { CallerConnectionState } from "./CallerConnectionState.js";
import type { ConnectionCounts } from "./ConnectionCounts.js";

type Connection = {
    /** Requests without a whole answer. */
    unanswered: number;
    /** Bytes read until the last answer was whole. */
    answeredBytes: number;
};

/** The connections that callers have open. */
type CallerConnections = {
    /** To be called for each connection that a caller opens. */
    readonly open: (socket: Duplex) => void;
    /** To be called for each request. */
    readonly begin: (req: IncomingMessage, res: ServerResponse) => void;
    /** Answers that are not whole yet. */
    readonly unanswered: () => ReadonlySet<ServerResponse>;
    readonly counts: () => ConnectionCounts;
};

const bytesReadOf = (socket: Duplex): number => "bytesRead" in socket ? Number(socket.bytesRead) : 0;

const stateOf = (socket: Duplex, { unanswered, answeredBytes }: Connection): CallerConnectionState => {
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
    return {
        open: socket => {
            connections.set(socket, { unanswered: 0, answeredBytes: 0 });
            socket.once("close", () => connections.delete(socket));
        },
        begin: (req, res) => {
            const { socket } = req;
            const connection = connections.get(socket);
            unanswered.add(res);
            if (connection !== undefined) {
                connection.unanswered += 1;
            }
            res.once("close", () => {
                unanswered.delete(res);
                if (connection !== undefined) {
                    connection.unanswered -= 1;
                    connection.answeredBytes = bytesReadOf(socket);
                }
            });
        },
        unanswered: () => unanswered,
        counts: () => {
            const counts: Partial<Record<CallerConnectionState, number>> = {};
            connections.forEach((connection, socket) => {
                const state = stateOf(socket, connection);
                counts[state] = (counts[state] ?? 0) + 1;
            });
            return counts;
        },
    };
}
