import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import type { SocketReading } from "./SocketReading.js";

type Answered = { unanswered: number; bytes: number; };

const bytesReadOf = (socket: Duplex): number => "bytesRead" in socket ? Number(socket.bytesRead) : 0;

/** Follows the requests of a listener; returns a function that tells what has been read of a connection. */
export function trackReadings(server: Server): (socket: Duplex) => SocketReading {
    const answered = new WeakMap<Duplex, Answered>();
    server.on("request", ({ socket }: IncomingMessage, res: ServerResponse) => {
        const connection = answered.get(socket) ?? { unanswered: 0, bytes: 0 };
        answered.set(socket, connection);
        connection.unanswered += 1;
        res.once("close", () => {
            connection.unanswered -= 1;
            connection.bytes = bytesReadOf(socket);
        });
    });
    return socket => {
        const { unanswered, bytes: answeredBytes } = answered.get(socket) ?? { unanswered: 0, bytes: 0 };
        const bytes = bytesReadOf(socket);
        const isRead = unanswered === 0 && bytes > 0;
        return { bytes, isIdle: isRead && bytes === answeredBytes, isPartial: isRead && bytes !== answeredBytes };
    };
}
