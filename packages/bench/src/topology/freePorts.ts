import { createServer } from "node:net";
import type { Server } from "node:net";

const HOST = "127.0.0.1";

/** Ends below the system's range for outgoing connections, which could take a port before its process listens there. */
const RANGE_START = 10_000;
const RANGE_END = 32_000;

/** Number of ports that a process claims at once. */
const BLOCK_SIZE = 32;

/** Ports of the blocks claimed by this process that have not been handed out yet. */
const unusedPorts: number[] = [];

const tryListen = (port: number): Promise<Server | undefined> =>
    new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, HOST, () => resolve(server));
    });

const isFree = async (port: number): Promise<boolean> => {
    const server = await tryListen(port);
    await new Promise<void>(resolve => server === undefined ? resolve() : server.close(() => resolve()));
    return server !== undefined;
};

/**
 * Claims a block of ports for the lifetime of this process by listening on the first port of the block.
 *
 * Without the claim, another program could take a port that was found free before the process it was meant for listens
 * there, and that process would not start. To prevent this, only the process that claimed a block hands out its ports.
 */
const claimBlock = async (random: () => number): Promise<void> => {
    const firstPort = RANGE_START + Math.floor(random() * (RANGE_END - RANGE_START) / BLOCK_SIZE) * BLOCK_SIZE;
    const blockHolder = await tryListen(firstPort);
    if (blockHolder === undefined) {
        return claimBlock(random);
    }
    blockHolder.unref();
    unusedPorts.push(...Array.from({ length: BLOCK_SIZE - 1 }, (_, i) => firstPort + 1 + i));
};

const nextFreePort = async (random: () => number): Promise<number> => {
    const port = unusedPorts.shift();
    if (port === undefined) {
        await claimBlock(random);
        return nextFreePort(random);
    }
    return await isFree(port) ? port : nextFreePort(random);
};

/**
 * Finds free ports on the loopback address. No other call of this function, in this or another process, returns them as
 * well.
 *
 * @param random source of numbers uniform in [0, 1)
 */
export function freePorts(count: number, random: () => number = Math.random): Promise<readonly number[]> {
    return Array.from({ length: count }).reduce<Promise<readonly number[]>>(
        async before => [...await before, await nextFreePort(random)],
        Promise.resolve([]),
    );
}
