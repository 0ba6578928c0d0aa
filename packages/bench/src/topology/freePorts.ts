import { createServer } from "node:net";
import type { Server } from "node:net";

const HOST = "127.0.0.1";

/** Below the range that the system takes ports of outgoing connections from; one of these could be taken meanwhile. */
const LOWEST = 10_000;
const HIGHEST = 32_000;

/** Ports that a process claims at once. */
const BLOCK = 32;

/** Ports of the blocks that this process has claimed, not given out yet. */
const claimed: number[] = [];

const listen = (port: number): Promise<Server | undefined> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, HOST, () => resolve(server));
    });

const isFree = async (port: number): Promise<boolean> => {
    const server = await listen(port);
    await new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()));
    return server !== undefined;
};

/**
 * Claims a block of ports for as long as this process lives, by listening on its first one.
 *
 * Failure: a port found free is taken by another run before the process that it was meant for listens there; that process
 * does not start. Guard: of all that take their ports here, only the holder of a block gives out ports of it.
 */
const claimBlock = async (random: () => number): Promise<void> => {
    const first = LOWEST + Math.floor(random() * (HIGHEST - LOWEST) / BLOCK) * BLOCK;
    const claim = await listen(first);
    if (claim === undefined) {
        return claimBlock(random);
    }
    claim.unref();
    claimed.push(...Array.from({ length: BLOCK - 1 }, (_, i) => first + 1 + i));
};

const freePort = async (random: () => number): Promise<number> => {
    const port = claimed.shift();
    if (port === undefined) {
        await claimBlock(random);
        return freePort(random);
    }
    return await isFree(port) ? port : freePort(random);
};

/**
 * Finds free ports of the loopback address that no other process gets from here.
 *
 * @param count how many
 * @param random uniform in [0, 1)
 */
export function freePorts(count: number, random: () => number = Math.random): Promise<readonly number[]> {
    return Array.from({ length: count }).reduce<Promise<readonly number[]>>(
        async before => [...await before, await freePort(random)],
        Promise.resolve([]),
    );
}
