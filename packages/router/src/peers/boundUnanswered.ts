import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

type Handler = (req: IncomingMessage, res: ServerResponse) => Promise<void> | void;

/** Answers for which a connection may wait; other VMs send one request at a time. */
const MAX_UNANSWERED = 16;

/**
 * Bounds the answers that are kept for a connection. A request takes some bytes, and its answer up to megabytes until it is read.
 * A connection with more requests is closed, and those are not handled.
 */
export function boundUnanswered(handle: Handler): Handler {
    const unanswered = new WeakMap<Socket, number>();
    return (req, res) => {
        const { socket } = req;
        const count = (unanswered.get(socket) ?? 0) + 1;
        // Node goes on with what it has read, although the connection is closed.
        if (socket.destroyed || count > MAX_UNANSWERED) {
            socket.destroy();
            return undefined;
        }
        unanswered.set(socket, count);
        res.once("close", () => unanswered.set(socket, (unanswered.get(socket) ?? 1) - 1));
        return handle(req, res);
    };
}
