import type { Socket } from "node:net";

/**
 * Makes an open connection silent for good: what arrives is read, and nothing leaves any more, not even its end. The
 * peer sees what it would see after a middlebox lost track of the connection.
 */
export function muteSocket(socket: Socket): void {
    socket.write = (...args: unknown[]) => {
        const done = args.find(arg => typeof arg === "function") as (() => void) | undefined;
        done?.();
        return true;
    };
    socket.end = () => socket;
    socket.destroySoon = () => undefined;
    socket.setTimeout = () => socket;
}
