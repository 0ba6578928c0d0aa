import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

import { wasReset } from "../../dispatch/wasReset.js";

/** How the connection to an endpoint ended, as the endpoint sees it. */
type EndSeen = "closed" | "reset";

/**
 * Starts an endpoint that writes to its connections itself.
 *
 * @param onData called when bytes of a request arrive, with those of its connection so far
 */
export async function startRawEndpoint(onData: (socket: Socket, text: string) => void) {
    const ends: EndSeen[] = [];
    const sockets: Socket[] = [];
    const server = createServer({ allowHalfOpen: true }, socket => {
        const state = { text: "" };
        sockets.push(socket);
        socket.on("data", data => {
            state.text += String(data);
            onData(socket, state.text);
        });
        socket.prependOnceListener("end", () => ends.push(wasReset(socket) ? "reset" : "closed"));
        socket.on("end", () => socket.end());
        socket.on("error", () => ends.push("reset"));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        /** How connections have ended from the other side. */
        ends: ends as readonly EndSeen[],
        sockets: sockets as readonly Socket[],
        stop: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
