import { once } from "node:events";
import { createServer } from "node:net";

/** Below the range that the system takes ports of outgoing connections from; one of these could be taken meanwhile. */
const LOWEST = 10_000;
const HIGHEST = 32_000;

/** Ports given out by this process; a second installation beside the first must not get them. */
const givenOut = new Set<number>();

const isFree = async (port: number): Promise<boolean> => {
    const server = createServer();
    const failed = once(server, "error").then(() => false);
    const listening = once(server.listen(port, "127.0.0.1"), "listening").then(() => true, () => false);
    const free = await Promise.race([failed, listening]);
    await new Promise(resolve => server.close(resolve));
    return free;
};

const freePort = async (): Promise<number> => {
    const port = LOWEST + Math.floor(Math.random() * (HIGHEST - LOWEST));
    if (givenOut.has(port)) {
        return freePort();
    }
    givenOut.add(port);
    return await isFree(port) ? port : freePort();
};

/**
 * Finds free ports of the loopback address.
 *
 * @param count how many
 */
export function freePorts(count: number): Promise<readonly number[]> {
    return Promise.all(Array.from({ length: count }, freePort));
}
