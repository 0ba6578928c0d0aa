import type { Socket } from "node:net";

/**
 * Silences an open connection permanently: incoming data is still read, but nothing is sent any more, not even the end
 * of the connection. The other side sees the same as after a middlebox lost its state of the connection.
 */
export function silenceSocket(socket: Socket): void {
    socket.write = (...args: unknown[]) => {
        const done = args.find(arg => typeof arg === "function") as (() => void) | undefined;
        done?.();
        return true;
    };
    socket.end = () => socket;
    socket.destroySoon = () => undefined;
    socket.setTimeout = () => socket;
}
