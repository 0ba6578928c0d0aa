import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

import type { SocketReading } from "./SocketReading.js";

type Read = { unanswered: number; requests: number; bytes: number; last: IncomingMessage | undefined; };

const bytesReadOf = (socket: Duplex): number => "bytesRead" in socket ? Number(socket.bytesRead) : 0;
const nothing = (): Read => ({ unanswered: 0, requests: 0, bytes: 0, last: undefined });

/** Follows the requests of a listener; returns a function that tells what has been read of a connection. */
export function trackReadings(server: Server): (socket: Duplex) => SocketReading {
    const readings = new WeakMap<Duplex, Read>();
    server.on("request", (req: IncomingMessage, res: ServerResponse) => {
        const { socket } = req;
        const read = readings.get(socket) ?? nothing();
        readings.set(socket, read);
        read.unanswered += 1;
        read.requests += 1;
        read.last = req;
        res.once("close", () => {
            read.unanswered -= 1;
            read.bytes = bytesReadOf(socket);
        });
    });
    return socket => {
        const { unanswered, requests, bytes: answeredBytes, last } = readings.get(socket) ?? nothing();
        const bytes = bytesReadOf(socket);
        const isRead = unanswered === 0 && bytes > 0;
        return {
            bytes,
            isIdle: isRead && bytes === answeredBytes,
            isIncomplete: (isRead && bytes !== answeredBytes) || last?.complete === false,
            requests,
        };
    };
}
