import type { IncomingMessage } from "node:http";

import { createByteQueue } from "./createByteQueue.js";

/**
 * Joins the small chunks of a message's body that are parsed together. While a body is not read, each would be kept as an
 * object of its own, thousands of them for one read of a connection.
 *
 * @param passLater calls what it gets after the present read has been parsed; chunks of a body that is being read are then
 * passed on at once
 * @returns passes on what has been joined
 */
export function joinChunks(message: IncomingMessage, passLater?: (pass: () => void) => void): () => void {
    const queue = createByteQueue();
    const push = message.push.bind(message);
    const pass = (): void => queue.takeAll().forEach(part => void push(part));
    message.push = (chunk: Buffer | null) => {
        if (chunk === null || (passLater !== undefined && message.readableFlowing === true)) {
            pass();
            return push(chunk);
        }
        if (queue.bytes() === 0) {
            passLater?.(pass);
        }
        queue.add(chunk);
        return message.readableFlowing === true
            || message.readableLength + queue.bytes() < message.readableHighWaterMark;
    };
    return pass;
}
