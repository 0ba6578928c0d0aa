import { createServer } from "node:net";
import type { AddressInfo } from "node:net";

import test from "ava";

import { hasDied } from "../../dispatch/hasDied.js";

const BOUNDS = { connectMs: 5_000, minOpenMs: 50, againMs: 5, allMs: 20_000 };

type Case = {
    readonly name: string;
    /** Number of connections that the process accepts and resets first. */
    readonly resets: number;
    /** Whether a process listens at the address after that. */
    readonly listens: boolean;
};

// A dying engine still accepts connections. If it counted as alive, its death would not be recorded.
const cases: readonly Case[] = [
    { name: "nothing listens → dead", resets: 0, listens: false },
    { name: "connections are reset, then nothing listens → dead", resets: 2, listens: false },
    { name: "connections are reset, then accepted → alive", resets: 2, listens: true },
    { name: "connections are accepted → alive", resets: 0, listens: true },
];

cases.forEach(({ name, resets, listens }) => {
    test(`hasDied: ${name}`, async t => {
        const state = { left: resets };
        const server = createServer();
        const closeWhenDue = (): void => {
            if (state.left === 0 && !listens) {
                server.close();
            }
        };
        server.on("connection", socket => {
            socket.on("error", () => undefined);
            if (state.left > 0) {
                state.left -= 1;
                socket.resetAndDestroy();
                closeWhenDue();
            }
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const { port } = server.address() as AddressInfo;
        closeWhenDue();
        t.is(await hasDied(`127.0.0.1:${port}`, BOUNDS), !listens);
        server.close();
    });
});
