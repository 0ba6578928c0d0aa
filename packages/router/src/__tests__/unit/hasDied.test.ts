import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

import test from "ava";

import { hasDied } from "../../dispatch/hasDied.js";

const BOUNDS = { connectMs: 5_000, standsMs: 50, againMs: 5, allMs: 20_000 };

type Case = {
    readonly name: string;
    /** Connections that the process still takes and resets. */
    readonly resets: number;
    /** Whether a process then listens at the address. */
    readonly listens: boolean;
};

// An engine that is just dying still takes connections; it passes for alive, and its death does not count.
const cases: readonly Case[] = [
    { name: "nothing listens any more", resets: 0, listens: false },
    { name: "it resets connections, then nothing listens", resets: 2, listens: false },
    { name: "it resets connections, then takes them", resets: 2, listens: true },
    { name: "it takes connections", resets: 0, listens: true },
];

cases.forEach(({ name, resets, listens }) => {
    test(`hasDied: ${name}`, async t => {
        const state = { left: resets };
        const server = createServer();
        const goOn = (): void => {
            if (state.left === 0 && !listens) {
                server.close();
            }
        };
        server.on("connection", socket => {
            socket.on("error", () => undefined);
            if (state.left > 0) {
                state.left -= 1;
                socket.resetAndDestroy();
                goOn();
            }
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        goOn();
        t.is(await hasDied(`127.0.0.1:${port}`, BOUNDS), !listens);
        server.close();
    });
});
